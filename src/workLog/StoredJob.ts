import type { JobSpec } from '../task/mod.js';
import type { TrackedJob } from './TrackedJob.js';
import {
  WorkLogKey,
  type AcceptedJob,
  type JobProgress,
  type ProgressPart,
} from './WorkLogRecord.js';

/**
 * Part of each progress record of a job that has not begun; other records cannot contain it, since
 * quotes within a JSON string are escaped. To decode every record costs all nodes too much time.
 */
const NOT_BEGUN = '"hasBegun":false';

/** Identifier of a job, and offset and key of the first record that accepted it. */
export interface StoredJobHead {
  id: string;
  /** See `TrackedJob.acceptedOffset`. */
  acceptedOffset: number;
  key: string;
}

/** Decodes the progress records of a job; undefined if a record is not readable. */
export interface ProgressDecoder {
  decodeProgress: (value: Buffer) => JobProgress | undefined;
  decodePart: (key: string, value: Buffer) => ProgressPart | undefined;
}

/**
 * A job of the work log whose progress is decoded when it is needed.
 *
 * Every node reads every record, but a progress record is used only by a node that is asked for the
 * job or takes over the shard, and is mostly replaced by a newer one before.
 */
export class StoredJob implements TrackedJob {
  readonly id: string;

  readonly acceptedOffset: number;

  /** Accepting records by key. */
  readonly #submissions = new Map<string, AcceptedJob>();

  /** The earliest submission, which describes the job. */
  #accepted: AcceptedJob;

  #dataCentres: readonly string[] = [];

  /** Times of cancellations in ms since the Unix epoch, by key; undefined if there is none. */
  #cancellations: Map<string, number> | undefined;

  readonly #decoder: ProgressDecoder;

  /** Progress records that have not been decoded: the newest one and the one before it. */
  #newest: Buffer | undefined;

  #previous: Buffer | undefined;

  #progress: JobProgress | undefined;

  /** Records of the parts of the progress, by key; undefined if there are none. */
  #parts: Map<string, Buffer> | undefined;

  /** The newest progress record shows that a task had been started; the owner never takes it back. */
  #hasBegun = false;

  constructor(
    { id, acceptedOffset, key }: StoredJobHead,
    accepted: AcceptedJob,
    decoder: ProgressDecoder,
  ) {
    this.id = id;
    this.acceptedOffset = acceptedOffset;
    this.#accepted = accepted;
    this.#decoder = decoder;
    this.setSubmission(key, accepted);
  }

  get queue(): string {
    return this.#accepted.queue;
  }

  get pool(): string {
    return this.#accepted.pool;
  }

  get rule(): AcceptedJob['rule'] {
    return this.#accepted.rule;
  }

  get submittedAtMs(): number {
    return this.#accepted.submittedAtMs;
  }

  get organisation(): string | undefined {
    return this.#accepted.organisation;
  }

  get spec(): JobSpec {
    return this.#accepted.spec;
  }

  get dataCentres(): readonly string[] {
    return this.#dataCentres;
  }

  get recordKeys(): readonly string[] {
    return [...this.#submissions.keys(), ...(this.#cancellations?.keys() ?? [])];
  }

  /** Cancellations of any queue, by key; they outlive the job until their own records are removed. */
  get cancellations(): ReadonlyMap<string, number> | undefined {
    return this.#cancellations;
  }

  get cancelledAtMs(): number | undefined {
    if (this.#cancellations === undefined) return undefined;
    const { id, queue, organisation } = this;
    // An early cancellation by another organisation does not apply to the job.
    return [
      WorkLogKey.cancel(id),
      WorkLogKey.earlyCancel(id, queue),
      WorkLogKey.earlyCancel(id, queue, organisation),
    ]
      .map((key) => this.#cancellations?.get(key))
      .find((atMs) => atMs !== undefined);
  }

  /** Adds a record that accepted the job, or replaces the one with the same key. */
  setSubmission(key: string, accepted: AcceptedJob): void {
    this.#submissions.set(key, accepted);
    this.#updateSubmissions();
  }

  /**
   * Removes an accepting record, if the job has it; returns false if it is the last one, which is
   * kept.
   */
  removeSubmission(key: string): boolean {
    if (this.#submissions.size === 1 && this.#submissions.has(key)) return false;
    this.#submissions.delete(key);
    this.#updateSubmissions();
    return true;
  }

  /** Progress last recorded by the owner; the last readable one if a record is odd. */
  get progress(): JobProgress | undefined {
    if (this.#newest === undefined) return this.#progress;
    const previous = this.#previous;
    const decoded =
      this.#decoder.decodeProgress(this.#newest) ??
      (previous === undefined ? undefined : this.#decoder.decodeProgress(previous));
    this.#newest = undefined;
    this.#previous = undefined;
    this.#progress = decoded ?? this.#progress;
    return this.#progress;
  }

  /** The owner has recorded progress. */
  get hasProgress(): boolean {
    return this.#newest !== undefined || this.#progress !== undefined;
  }

  /** The owner has recorded that a host has started a task of the job. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Sets the newest progress record. */
  setProgress(value: Buffer): void {
    this.#hasBegun = !value.includes(NOT_BEGUN);
    this.#previous = this.#newest;
    // The record is a part of the response of a read, which would be kept with it.
    this.#newest = Buffer.from(value);
  }

  /** Chooses by content and not by offset, so that all readers choose the same submission. */
  #updateSubmissions(): void {
    const sorted = [...this.#submissions].sort(
      ([key, one], [otherKey, other]) =>
        one.submittedAtMs - other.submittedAtMs || (key < otherKey ? -1 : 1),
    );
    this.#accepted = sorted[0]?.[1] ?? this.#accepted;
    // Two organisations may submit an identifier at the same time; the job belongs to the first one.
    const own = sorted.filter(([, { organisation }]) => organisation === this.organisation);
    this.#dataCentres = [...new Set(own.map(([, { dataCentre }]) => dataCentre))].sort();
  }

  /**
   * Adds a cancellation by a caller at a time in ms since the Unix epoch. An early one applies only
   * to a job of the queue that its key names.
   */
  addCancellation(key: string, atMs: number): void {
    this.#cancellations ??= new Map();
    this.#cancellations.set(key, atMs);
  }

  /** Removes a cancellation whose record has been removed. */
  removeCancellation(key: string): void {
    this.#cancellations?.delete(key);
  }

  get progressParts(): readonly ProgressPart[] {
    return [...(this.#parts ?? [])].flatMap(
      ([key, value]) => this.#decoder.decodePart(key, value) ?? [],
    );
  }

  get partKeys(): readonly string[] {
    return [...(this.#parts?.keys() ?? [])];
  }

  /** Sets or, without a value, removes the record of a part of the progress. */
  setPart(key: string, value: Buffer | undefined): void {
    if (value === undefined) {
      this.#parts?.delete(key);
      return;
    }
    this.#parts ??= new Map();
    this.#parts.set(key, Buffer.from(value));
  }

  /** Removes the progress, whose record has been removed. */
  removeProgress(): void {
    this.#newest = undefined;
    this.#previous = undefined;
    this.#progress = undefined;
    this.#hasBegun = false;
  }
}
