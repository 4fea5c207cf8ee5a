import type { KeyedValue } from '../port/mod.js';
import type { RecentMachineOrder, Shard } from '../schedule/mod.js';
import type { ScheduledJob } from '../schedule/ScheduledJob.js';
import { WorkLogKey, type Successor, type TrackedJob, type WaveRecord } from '../workLog/mod.js';
import { buildJobTombstones } from './buildJobTombstones.js';
import type { NodeContext } from './NodeContext.js';
import { ProgressRecords } from './_ProgressRecords.js';
import { PoolLoadPublisher } from './PoolLoadPublisher.js';

/** Interval in ms at which the ages of the machine orders are recorded again. */
const MACHINE_ORDERS_REFRESH_MS = 500;
/** A longer interval of the owner's records is announced once it has grown by this factor. */
const ANNOUNCE_FACTOR = 1.5;

/** What an append of the owner has to record. */
export interface OwnerUpdate {
  jobs: readonly ScheduledJob[];
  waves: readonly [number, WaveRecord][];
  /** The append records machine orders that have not been recorded before. */
  hasNewMachineOrders: boolean;
  isHeartbeatDue: boolean;
  isRelease: boolean;
  /** Offset up to which the work log has been read. */
  readTo: number;
  /** Interval in ms of the owner's records, as far as something is slow. */
  intervalMs: number;
  /** Latency in ms of recent appends. */
  storeLatencyMs?: number;
  /** With a release: the node that claims the shard first. */
  successor?: Successor | undefined;
}

/** Records of an append, and the interval that they announce if they contain the owner's record. */
export interface OwnerAppend {
  records: KeyedValue[];
  intervalMs: number | undefined;
}

/** Builds the records that an owner appends to the work log. */
export class OwnerRecords {
  readonly #context: NodeContext;

  readonly #shard: Shard;

  /** Finished jobs whose records are removed after the retention time, oldest first. */
  readonly #finishedJobs: { job: TrackedJob; endedAtMs: number }[] = [];

  /**
   * Times in ms since the Unix epoch at which this owner read cancellations of unknown jobs, by key,
   * oldest first. They are removed after the retention time, when no write of the job can be open.
   */
  readonly #earlyCancels = new Map<string, number>();

  readonly #poolLoad: PoolLoadPublisher;

  readonly #progress: ProgressRecords;

  #machineOrdersRecordedAt = -Infinity;

  /** The last record of machine orders was not empty. */
  #hasRecordedMachineOrders = true;

  #announcedIntervalMs = 0;

  constructor(context: NodeContext, shard: Shard) {
    this.#context = context;
    this.#shard = shard;
    this.#poolLoad = new PoolLoadPublisher(shard.token);
    this.#progress = new ProgressRecords(shard.token, context.settings.store.recordBytes);
  }

  /**
   * Interval in ms of the owner's records that other nodes assume: that of the last record which is
   * known to be stored, or a shorter one that may be stored.
   */
  get announcedIntervalMs(): number {
    return this.#announcedIntervalMs;
  }

  /** Adds a finished job, whose records are removed after the retention time. */
  addFinishedJob(job: TrackedJob, endedAtMs: number): void {
    this.#finishedJobs.push({ job, endedAtMs });
  }

  /** Adds a cancellation of a job that is not known; it is removed after the retention time. */
  addEarlyCancel(key: string): void {
    if (!this.#earlyCancels.has(key)) this.#earlyCancels.set(key, this.#context.clock.readWall());
  }

  /** Keeps the cancellations of a job that is known now; they are removed together with the job. */
  withdrawEarlyCancels({ recordKeys }: TrackedJob): void {
    recordKeys.forEach((key) => this.#earlyCancels.delete(key));
  }

  /** Builds the records of an append; there is always one. */
  build(update: OwnerUpdate): OwnerAppend {
    const { jobs, waves, isRelease, intervalMs } = update;
    const records: KeyedValue[] = [
      ...jobs.flatMap((job) => this.#progress.build(job)),
      ...waves.map(([wave, record]) => ({
        key: WorkLogKey.wave(wave),
        value: JSON.stringify(record),
      })),
      ...this.#buildMachineOrders(update.hasNewMachineOrders),
      ...this.#buildPoolLoad(),
      ...this.#collectTombstones(),
    ];
    const announcedMs = this.#announcedIntervalMs;
    const hasSlowed = intervalMs > ANNOUNCE_FACTOR * announcedMs;
    const isRecorded = update.isHeartbeatDue || isRelease || records.length === 0 || hasSlowed;
    if (isRecorded) {
      records.push(this.#buildOwner(update));
      // The record may be stored although its append is not answered; then the shorter limit holds.
      this.#announcedIntervalMs = Math.min(this.#announcedIntervalMs, intervalMs);
    }
    return { records, intervalMs: isRecorded ? intervalMs : undefined };
  }

  /** Records that an append has been stored. */
  confirm({ intervalMs }: OwnerAppend): void {
    this.#announcedIntervalMs = intervalMs ?? this.#announcedIntervalMs;
  }

  /** Builds the record of machine orders if there are new ones or recorded ages are outdated. */
  #buildMachineOrders(hasNew: boolean): KeyedValue[] {
    const now = this.#context.clock.readMonotonic();
    const isOld = now - this.#machineOrdersRecordedAt >= MACHINE_ORDERS_REFRESH_MS;
    if (!hasNew && (!isOld || !this.#hasRecordedMachineOrders)) return [];
    const orders: RecentMachineOrder[] = this.#shard.listMachineOrders();
    this.#machineOrdersRecordedAt = now;
    this.#hasRecordedMachineOrders = orders.length > 0;
    return [{ key: WorkLogKey.machineOrders, value: JSON.stringify({ orders }) }];
  }

  /** Builds the record of the full pools if it is due; it is written only with other records. */
  #buildPoolLoad(): KeyedValue[] {
    const now = this.#context.clock.readMonotonic();
    const nowWallMs = this.#context.clock.readWall();
    const fullPools = this.#shard.organisations.listFullPools(now);
    const record = this.#poolLoad.take(fullPools, { now, nowWallMs });
    return record === undefined
      ? []
      : [{ key: WorkLogKey.poolLoad, value: JSON.stringify(record) }];
  }

  #buildOwner({ readTo, intervalMs, isRelease, ...update }: OwnerUpdate): KeyedValue {
    const { settings, session } = this.#context;
    return {
      key: WorkLogKey.owner,
      value: JSON.stringify({
        token: this.#shard.token,
        node: settings.name,
        session,
        dataCentre: settings.dataCentre,
        unrecorded: this.#shard.listUnrecorded(),
        readTo,
        intervalMs,
        storeLatencyMs: update.storeLatencyMs,
        isReleased: isRelease,
        successor: update.successor,
      }),
    };
  }

  #collectTombstones(): KeyedValue[] {
    const before = this.#context.clock.readWall() - this.#context.settings.retentionMs;
    const tombstones: KeyedValue[] = [];
    while ((this.#finishedJobs[0]?.endedAtMs ?? Infinity) < before) {
      const finished = this.#finishedJobs.shift();
      if (finished === undefined) continue;
      this.#shard.organisations.removeJob(finished.job.id);
      tombstones.push(...buildJobTombstones(finished.job));
    }
    for (const [key, readAtMs] of this.#earlyCancels) {
      if (readAtMs >= before) break;
      this.#earlyCancels.delete(key);
      tombstones.push({ key, value: undefined });
    }
    return tombstones;
  }
}
