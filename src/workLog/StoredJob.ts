import type { JobSpec } from '../task/mod.js';
import type { TrackedJob } from './TrackedJob.js';
import type { AcceptedJob, JobProgress } from './WorkLogRecord.js';

/**
 * Part of each progress record of a job that has not begun; other records cannot contain it, since
 * quotes within a JSON string are escaped. To decode every record costs all nodes too much time.
 */
const NOT_BEGUN = '"hasBegun":false';

/** Decodes a progress record; undefined if it is not readable. */
export type ProgressDecoder = (value: Buffer) => JobProgress | undefined;

/**
 * A job of the work log whose progress is decoded when it is needed.
 *
 * Every node reads every record, but a progress record is used only by a node that is asked for the
 * job or takes over the shard, and is mostly replaced by a newer one before.
 */
export class StoredJob implements TrackedJob {
  readonly id: string;

  readonly acceptedOffset: number;

  readonly queue: string;

  readonly pool: string;

  readonly rule: AcceptedJob['rule'];

  readonly submittedAtMs: number;

  readonly dataCentre: string;

  readonly spec: JobSpec;

  cancelledAtMs?: number;

  readonly #decode: ProgressDecoder;

  /** Progress records that have not been decoded: the newest one and the one before it. */
  #newest: Buffer | undefined;

  #previous: Buffer | undefined;

  #progress: JobProgress | undefined;

  /** A progress record showed that a task had been started; no later record takes this back. */
  #hasBegun = false;

  constructor(
    { id, acceptedOffset }: Pick<TrackedJob, 'id' | 'acceptedOffset'>,
    accepted: AcceptedJob,
    decode: ProgressDecoder,
  ) {
    this.id = id;
    this.acceptedOffset = acceptedOffset;
    this.queue = accepted.queue;
    this.pool = accepted.pool;
    this.rule = accepted.rule;
    this.submittedAtMs = accepted.submittedAtMs;
    this.dataCentre = accepted.dataCentre;
    this.spec = accepted.spec;
    this.#decode = decode;
  }

  /** Progress last recorded by the owner; the last readable one if a record is odd. */
  get progress(): JobProgress | undefined {
    if (this.#newest === undefined) return this.#progress;
    const previous = this.#previous;
    const decoded =
      this.#decode(this.#newest) ?? (previous === undefined ? undefined : this.#decode(previous));
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
    this.#hasBegun ||= !value.includes(NOT_BEGUN);
    this.#previous = this.#newest;
    // The record is a part of the response of a read, which would be kept with it.
    this.#newest = Buffer.from(value);
  }

  /** Marks the job as cancelled by a caller at a time in ms since the Unix epoch. */
  cancel(atMs: number): void {
    this.cancelledAtMs = atMs;
  }
}
