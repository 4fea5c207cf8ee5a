import type { z } from 'zod';
import { describeIssues } from '../finding/mod.js';
import type { StoreRecord } from '../port/mod.js';
import { StoredJob, type ProgressDecoder } from './StoredJob.js';
import type { TrackedJob } from './TrackedJob.js';
import {
  AcceptedJob,
  WorkLogKey,
  Cancellation,
  JobProgress,
  MachineOrders,
  NodeRecord,
  OwnerRecord,
  PoolLoadRecord,
  ProgressPart,
  WaveRecord,
} from './WorkLogRecord.js';

/** Change that a record made to the view. */
export type WorkLogChange =
  | { type: 'job'; job: TrackedJob }
  | { type: 'cancelled'; job: TrackedJob }
  | { type: 'progress'; job: TrackedJob }
  /** An earlier submission of a known job was read: its time or organisation has changed. */
  | { type: 'resubmitted'; job: TrackedJob }
  | { type: 'removed'; id: string }
  /** A job that has not been read was cancelled; the job may never be stored. */
  | { type: 'early-cancel'; key: string }
  | {
      type: 'owner';
      owner: OwnerRecord;
      /** The previous owner; undefined if there was none. */
      before: OwnerRecord | undefined;
      /** The token differs from that of the previous owner. */
      isClaim: boolean;
      offset: number;
    }
  | { type: 'node'; name: string; node: NodeRecord | undefined; offset: number }
  | { type: 'wave'; wave: number }
  | { type: 'machine-orders' }
  | { type: 'pool-load' }
  /** The record could not be decoded; every reader skips it in the same way. */
  | { type: 'unreadable'; key: string; reason: string };

/** Cancellations, progress and its parts, the first and the last by key, read before their job. */
interface PendingUpdates {
  cancellations: Map<string, number>;
  progress: Buffer | undefined;
  parts: Map<string, Buffer>;
}

/**
 * Materialized view of a shard's work log: accepted jobs with their progress, the owner, the nodes,
 * the maintenance waves and recent machine orders.
 *
 * Every node applies the same records in the same order, so each of them can answer queries about a
 * job and can take over the shard. A record that is not newer than the last one applied for its key
 * is ignored, since the pages of newest records overlap with the log that is read after them.
 *
 * @example
 * ```ts
 * const view = new WorkLogView();
 * view.apply({ offset: 0, key: 'cancel/5c0e', value: Buffer.from('{"atMs":1}') });
 * view.get('5c0e'); // undefined: only the cancellation has been read so far
 * ```
 */
export class WorkLogView {
  readonly #jobs = new Map<string, StoredJob>();

  /**
   * Updates of jobs that have not been read yet. A job may be cancelled before it is stored, and
   * newest records are sorted by key.
   */
  readonly #pendingUpdates = new Map<string, PendingUpdates>();

  readonly #nodes = new Map<string, NodeRecord>();

  readonly #waves = new Map<number, WaveRecord>();

  readonly #newestOffsets = new Map<string, number>();

  /** Number of jobs in each queue of which no task has started. */
  readonly #waitingCounts = new Map<string, number>();

  readonly #onUnreadable: (key: string, reason: string) => void;

  #owner: OwnerRecord | undefined;

  #machineOrders: MachineOrders['orders'] = [];

  #poolLoad: PoolLoadRecord | undefined;

  /** @param onUnreadable Called for a progress record that is found unreadable when it is used. */
  constructor(onUnreadable: (key: string, reason: string) => void = () => undefined) {
    this.#onUnreadable = onUnreadable;
  }

  get owner(): OwnerRecord | undefined {
    return this.#owner;
  }

  /**
   * Checks whether the process of the owner has ended: its node has registered another process since
   * the owner's last record. An earlier registration may be that of the process before the owner,
   * which may own the shard before its own registration is stored.
   */
  get hasOwnerEnded(): boolean {
    if (this.#owner === undefined) return false;
    const { node: name, session } = this.#owner;
    const node = this.#nodes.get(name);
    if (node === undefined || node.session === session) return false;
    const registeredAt = this.#newestOffsets.get(WorkLogKey.node(name)) ?? -1;
    return registeredAt > (this.#newestOffsets.get(WorkLogKey.owner) ?? -1);
  }

  get nodes(): ReadonlyMap<string, NodeRecord> {
    return this.#nodes;
  }

  get waves(): ReadonlyMap<number, WaveRecord> {
    return this.#waves;
  }

  /** Orders for machines that the owner may have issued, with their ages when recorded. */
  get machineOrders(): MachineOrders['orders'] {
    return this.#machineOrders;
  }

  /** The pools without capacity, as last recorded by the current owner; it may be outdated. */
  get poolLoad(): PoolLoadRecord | undefined {
    const isOutdated = (this.#poolLoad?.token ?? 0) < (this.#owner?.token ?? 0);
    return isOutdated ? undefined : this.#poolLoad;
  }

  get jobs(): IterableIterator<TrackedJob> {
    return this.#jobs.values();
  }

  get size(): number {
    return this.#jobs.size;
  }

  /** Lists the keys of cancellations of jobs that have not been read. */
  listEarlyCancels(): string[] {
    return [...this.#pendingUpdates.values()].flatMap(({ cancellations }) => [
      ...cancellations.keys(),
    ]);
  }

  /** Finds a job by its identifier. */
  get(id: string): TrackedJob | undefined {
    return this.#jobs.get(id);
  }

  /** Counts the jobs of a queue of which no task has started, without recurring jobs. */
  countWaiting(queue: string): number {
    return this.#waitingCounts.get(queue) ?? 0;
  }

  /**
   * Lists tombstones for the known keys that the newest records of all keys, read page by page, lack:
   * their own tombstones have expired unread.
   *
   * @param end End of the log when the first page was requested. What was written from there on is
   * read afterwards, also if the pages lack it.
   */
  listRemoved(newest: readonly StoreRecord[], end: number): StoreRecord[] {
    const listed = new Set(newest.map(({ key }) => key));
    const offset = end - 1;
    return [...this.#newestOffsets]
      .filter(([key, known]) => known < offset && !listed.has(key))
      .map(([key]) => ({ key, offset, value: undefined }));
  }

  /**
   * Applies a record; returns undefined if it changes nothing.
   *
   * `isNewest` tells that the record may have replaced earlier ones that this view has not read.
   */
  apply(record: StoreRecord, { isNewest = false } = {}): WorkLogChange | undefined {
    if ((this.#newestOffsets.get(record.key) ?? -1) >= record.offset) return undefined;
    this.#newestOffsets.set(record.key, record.offset);
    const slash = record.key.indexOf('/');
    const kind = slash < 0 ? record.key : record.key.slice(0, slash);
    const name = slash < 0 ? '' : record.key.slice(slash + 1);
    switch (kind) {
      case 'job':
      case 'accepted-job':
        return this.#applyJob(name.split('/', 1)[0] ?? '', record, isNewest);
      case 'cancel':
        return this.#applyCancellation(name.split('/', 1)[0] ?? '', record);
      case 'progress':
        return this.#applyProgress(name, record);
      case 'progress-part':
        return this.#applyPart(name.split('/', 1)[0] ?? '', record);
      case 'owner':
        return this.#applyOwner(record);
      case 'node':
        return this.#applyNode(name, record);
      case 'wave':
        return this.#applyWave(Number(name), record);
      case WorkLogKey.machineOrders:
        return this.#applyMachineOrders(record);
      case WorkLogKey.poolLoad:
        return this.#applyPoolLoad(record);
      default:
        return { type: 'unreadable', key: record.key, reason: 'unknown record type' };
    }
  }

  #applyJob(id: string, record: StoreRecord, isNewest: boolean): WorkLogChange | undefined {
    const known = this.#jobs.get(id);
    if (record.value === undefined) return this.#removeSubmission(known, record.key);
    const accepted = WorkLogView.#decode(AcceptedJob, record);
    if ('reason' in accepted) return accepted;
    if (known !== undefined) {
      // Submissions are idempotent: a repeated one adds at most a data centre.
      const { submittedAtMs, organisation } = known;
      this.#changeJob(known, () => known.setSubmission(record.key, accepted.value));
      const isSame = known.submittedAtMs === submittedAtMs && known.organisation === organisation;
      return isSame ? undefined : { type: 'resubmitted', job: known };
    }
    const head = { id, acceptedOffset: isNewest ? 0 : record.offset, key: record.key };
    const job = new StoredJob(head, accepted.value, this.#buildDecoder(id));
    const { cancellations, progress, parts } = this.#pendingUpdates.get(id) ?? {};
    cancellations?.forEach((atMs, key) => job.addCancellation(key, atMs));
    if (progress !== undefined) job.setProgress(progress);
    parts?.forEach((value, key) => job.setPart(key, value));
    this.#pendingUpdates.delete(id);
    this.#changeJob(job, () => this.#jobs.set(id, job));
    return { type: 'job', job };
  }

  /** Removes an accepting record, and the job if it was the last one. */
  #removeSubmission(job: StoredJob | undefined, key: string): WorkLogChange | undefined {
    this.#newestOffsets.delete(key);
    if (job === undefined) return undefined;
    const { id } = job;
    let isKept = false;
    this.#changeJob(job, () => {
      isKept = job.removeSubmission(key);
      if (!isKept) this.#jobs.delete(id);
    });
    if (isKept) return undefined;
    job.cancellations?.forEach((atMs, one) => this.#openPending(id).cancellations.set(one, atMs));
    return { type: 'removed', id };
  }

  #applyCancellation(id: string, record: StoreRecord): WorkLogChange | undefined {
    const job = this.#jobs.get(id);
    if (record.value === undefined) {
      if (job !== undefined) this.#changeJob(job, () => job.removeCancellation(record.key));
      this.#newestOffsets.delete(record.key);
      this.#changePending(id, ({ cancellations }) => cancellations.delete(record.key));
      return undefined;
    }
    const cancellation = WorkLogView.#decode(Cancellation, record);
    if ('reason' in cancellation) return cancellation;
    const { atMs } = cancellation.value;
    if (job === undefined) {
      this.#openPending(id).cancellations.set(record.key, atMs);
      return { type: 'early-cancel', key: record.key };
    }
    const wasCancelled = job.cancelledAtMs !== undefined;
    this.#changeJob(job, () => job.addCancellation(record.key, atMs));
    const isCancelled = job.cancelledAtMs !== undefined;
    return isCancelled && !wasCancelled ? { type: 'cancelled', job } : undefined;
  }

  #applyProgress(id: string, record: StoreRecord): WorkLogChange | undefined {
    const { value } = record;
    const job = this.#jobs.get(id);
    if (value === undefined) {
      if (job !== undefined) this.#changeJob(job, () => job.removeProgress());
      this.#newestOffsets.delete(record.key);
      this.#changePending(id, (pending) => Object.assign(pending, { progress: undefined }));
      return undefined;
    }
    if (job === undefined) {
      Object.assign(this.#openPending(id), { progress: Buffer.from(value) });
      return undefined;
    }
    this.#changeJob(job, () => job.setProgress(value));
    return { type: 'progress', job };
  }

  #applyPart(id: string, { key, value }: StoreRecord): WorkLogChange | undefined {
    const job = this.#jobs.get(id);
    if (value === undefined) this.#newestOffsets.delete(key);
    if (job !== undefined) {
      job.setPart(key, value);
      return { type: 'progress', job };
    }
    if (value === undefined) this.#changePending(id, ({ parts }) => parts.delete(key));
    else this.#openPending(id).parts.set(key, Buffer.from(value));
    return undefined;
  }

  #openPending(id: string): PendingUpdates {
    const pending = this.#pendingUpdates.get(id) ?? {
      cancellations: new Map(),
      progress: undefined,
      parts: new Map(),
    };
    this.#pendingUpdates.set(id, pending);
    return pending;
  }

  /** Changes the updates of a job that has not been read, and forgets them if none is left. */
  #changePending(id: string, change: (pending: PendingUpdates) => void): void {
    const pending = this.#pendingUpdates.get(id);
    if (pending === undefined) return;
    change(pending);
    const { cancellations, progress, parts } = pending;
    if (cancellations.size === 0 && progress === undefined && parts.size === 0) {
      this.#pendingUpdates.delete(id);
    }
  }

  #applyOwner(record: StoreRecord): WorkLogChange | undefined {
    const owner = WorkLogView.#decode(OwnerRecord, record);
    if ('reason' in owner) return owner;
    const before = this.#owner;
    const isClaim = owner.value.token !== before?.token;
    this.#owner = owner.value;
    return { type: 'owner', owner: owner.value, before, isClaim, offset: record.offset };
  }

  #applyNode(name: string, record: StoreRecord): WorkLogChange | undefined {
    if (record.value === undefined) {
      this.#nodes.delete(name);
      return { type: 'node', name, node: undefined, offset: record.offset };
    }
    const node = WorkLogView.#decode(NodeRecord, record);
    if ('reason' in node) return node;
    this.#nodes.set(name, node.value);
    return { type: 'node', name, node: node.value, offset: record.offset };
  }

  #applyWave(wave: number, record: StoreRecord): WorkLogChange | undefined {
    const decoded = WorkLogView.#decode(WaveRecord, record);
    if ('reason' in decoded) return decoded;
    this.#waves.set(wave, decoded.value);
    return { type: 'wave', wave };
  }

  #applyMachineOrders(record: StoreRecord): WorkLogChange {
    const decoded = WorkLogView.#decode(MachineOrders, record);
    if ('reason' in decoded) return decoded;
    this.#machineOrders = decoded.value.orders;
    return { type: 'machine-orders' };
  }

  #applyPoolLoad(record: StoreRecord): WorkLogChange {
    if (record.value === undefined) {
      this.#poolLoad = undefined;
      return { type: 'pool-load' };
    }
    const decoded = WorkLogView.#decode(PoolLoadRecord, record);
    if ('reason' in decoded) return decoded;
    this.#poolLoad = decoded.value;
    return { type: 'pool-load' };
  }

  /** Applies a change to a job, or its addition or removal, and updates the count of waiting jobs. */
  #changeJob(job: StoredJob, change: () => void): void {
    const before = this.#findWaitingQueue(job);
    change();
    const after = this.#findWaitingQueue(job);
    if (before === after) return;
    if (before !== undefined) this.#waitingCounts.set(before, this.countWaiting(before) - 1);
    if (after !== undefined) this.#waitingCounts.set(after, this.countWaiting(after) + 1);
  }

  /** Finds the queue of a job of which no task has started; undefined for other jobs. */
  #findWaitingQueue(job: StoredJob): string | undefined {
    if (this.#jobs.get(job.id) !== job) return undefined;
    const isWaiting =
      job.spec.repeat === undefined && job.cancelledAtMs === undefined && !job.hasBegun;
    return isWaiting ? job.queue : undefined;
  }

  #buildDecoder(id: string): ProgressDecoder {
    const decode = <T>(schema: z.ZodType<T>, key: string, value: Buffer): T | undefined => {
      const decoded = WorkLogView.#decode(schema, { key, offset: 0, value });
      if ('value' in decoded) return decoded.value;
      this.#onUnreadable(key, decoded.reason);
      return undefined;
    };
    return {
      decodeProgress: (value) => decode(JobProgress, WorkLogKey.progress(id), value),
      decodePart: (key, value) => decode(ProgressPart, key, value),
    };
  }

  static #decode<T>(
    schema: z.ZodType<T>,
    { key, value }: StoreRecord,
  ): { value: T } | { type: 'unreadable'; key: string; reason: string } {
    try {
      const parsed = schema.safeParse(JSON.parse(value?.toString('utf8') ?? 'null'));
      if (parsed.success) return { value: parsed.data };
      return { type: 'unreadable', key, reason: describeIssues(parsed.error) };
    } catch (error) {
      return { type: 'unreadable', key, reason: String(error) };
    }
  }
}
