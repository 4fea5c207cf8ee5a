import { createHash } from 'node:crypto';
import type { HostState } from '../host/mod.js';
import type { LoggedRecord, RecordBody } from '../record/mod.js';
import { applyConfigChange } from './_applyConfigChange.js';
import { applyHostRecord } from './_applyHostRecord.js';
import { applySessionRecord } from './_applySessionRecord.js';
import { FleetData } from './_FleetData.js';
import { FleetSnapshot, type SessionState } from './FleetSnapshot.js';
import type { Verdict } from './Verdict.js';

function applyBody(data: FleetData, record: LoggedRecord, body: RecordBody): Verdict {
  switch (body.type) {
    case 'config-change':
      return applyConfigChange(data, record, body);
    case 'session-open':
    case 'session-end':
    case 'session-confirm':
      return applySessionRecord(data, record, body);
    default:
      return applyHostRecord(data, record, body);
  }
}

/**
 * The state of the fleet, built deterministically by applying the records of the log in order.
 *
 * All processes that have applied the same records hold the same state, regardless of how the
 * records were batched and of whether a process started from the first record or from a snapshot.
 *
 * @example
 * ```ts
 * const fleet = new Fleet();
 * const verdict = fleet.apply(record);
 * const copy = Fleet.restore(fleet.snapshot());
 * copy.hash() === fleet.hash(); // true
 * ```
 */
export class Fleet {
  readonly #data: FleetData;

  constructor(data = new FleetData()) {
    this.#data = data;
  }

  /**
   * Restores the state from a snapshot.
   *
   * @param options `isOwned` transfers ownership of the snapshot instead of copying it, which saves
   * about 70 ms at 19,000 hosts. The caller must not use the snapshot afterwards.
   */
  static restore(snapshot: FleetSnapshot, options: { isOwned?: boolean } = {}): Fleet {
    return new Fleet(
      FleetData.fromSnapshot(options.isOwned ? snapshot : structuredClone(snapshot)),
    );
  }

  /** Copies the data that planning depends on. Later records do not change the copy. */
  copyForPlan(): FleetData {
    return this.#data.copyForPlan();
  }

  /** Offset of the next record to apply. */
  get nextOffset(): number {
    return this.#data.nextOffset;
  }

  /** Platform time of the last applied record, in milliseconds. */
  get time(): number {
    return this.#data.time;
  }

  /** Offset after the last accepted configuration change. */
  get revision(): number {
    return this.#data.revision;
  }

  /** Configured objects, host states and sessions, as a read-only view. */
  get data(): Readonly<FleetData> {
    return this.#data;
  }

  /** Finds the state of a host; undefined if the host is not configured. */
  findHostState(host: string): HostState | undefined {
    return this.#data.hostStates.get(host);
  }

  /** Lists the open gateway sessions of a data centre (its view), sorted by id. */
  listGateways(dataCentre: string): SessionState[] {
    return this.#data.listSessions('gateway').filter((one) => one.dataCentre === dataCentre);
  }

  /**
   * Applies one record.
   *
   * A record below `nextOffset` is a duplicate, since the state never moves to a lower offset. Gaps
   * are allowed, because all readers skip the same unreadable records.
   */
  apply(record: LoggedRecord): Verdict {
    if (record.offset < this.#data.nextOffset) return { outcome: 'duplicate' };
    this.#data.nextOffset = record.offset + 1;
    this.#data.increaseTime(record.time);
    if (!this.#data.acceptSequence(record.writer, record.sequence)) return { outcome: 'duplicate' };
    return applyBody(this.#data, record, record.body);
  }

  /** Raises `nextOffset` to skip records that could not be decoded. */
  raiseNextOffset(nextOffset: number): void {
    this.#data.nextOffset = Math.max(this.#data.nextOffset, nextOffset);
  }

  /** Returns the state as a plain JSON value, with maps in a fixed order. */
  snapshot(): FleetSnapshot {
    return this.#data.toSnapshot();
  }

  /**
   * Serializes the snapshot of the current state as JSON text in slices. The slices may be consumed
   * after later records were applied.
   */
  snapshotSlices(): Generator<string> {
    return this.#data.toSlices();
  }

  /** Serializes the snapshot of the state as JSON text. */
  snapshotText(): string {
    return [...this.snapshotSlices()].join('');
  }

  /** Computes a hash of the whole state; it is equal in all processes at the same offset. */
  hash(): string {
    const hash = createHash('sha256');
    for (const slice of this.snapshotSlices()) hash.update(slice);
    return hash.digest('hex');
  }
}
