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
 * The state of the fleet: a deterministic fold of the log.
 *
 * Every process that has folded the same records holds the same state, whatever the batches and
 * whether it started from the first record or from a snapshot.
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
   * @param options `isOwned` takes the snapshot over without a copy, which saves about 70 ms at
   * 19,000 hosts; the caller must not use it afterwards.
   */
  static restore(snapshot: FleetSnapshot, options: { isOwned?: boolean } = {}): Fleet {
    return new Fleet(
      FleetData.fromSnapshot(options.isOwned ? snapshot : structuredClone(snapshot)),
    );
  }

  /** Copies what a plan depends on; the copy does not follow later records. */
  copyForPlan(): FleetData {
    return this.#data.copyForPlan();
  }

  /** Offset of the next record to fold. */
  get nextOffset(): number {
    return this.#data.nextOffset;
  }

  /** Platform time of the last record folded, in milliseconds. */
  get time(): number {
    return this.#data.time;
  }

  /** Offset after the last accepted change of the configuration. */
  get revision(): number {
    return this.#data.revision;
  }

  /** Configured objects, states and sessions, to read only. */
  get data(): Readonly<FleetData> {
    return this.#data;
  }

  /** Finds the state of a host. */
  findHostState(host: string): HostState | undefined {
    return this.#data.hostStates.get(host);
  }

  /** Lists the open gateway sessions of a data centre: its view, in order of their ids. */
  listGateways(dataCentre: string): SessionState[] {
    return this.#data.listSessions('gateway').filter((one) => one.dataCentre === dataCentre);
  }

  /**
   * Folds one record.
   *
   * A record below `nextOffset` is a duplicate: a process never moves to a lower offset. A gap is
   * allowed, since broken records are skipped by every reader in the same way.
   */
  apply(record: LoggedRecord): Verdict {
    if (record.offset < this.#data.nextOffset) return { outcome: 'duplicate' };
    this.#data.nextOffset = record.offset + 1;
    this.#data.increaseTime(record.time);
    if (!this.#data.claimSequence(record.writer, record.sequence)) return { outcome: 'duplicate' };
    return applyBody(this.#data, record, record.body);
  }

  /** Moves past records that could not be decoded. */
  increase(nextOffset: number): void {
    this.#data.nextOffset = Math.max(this.#data.nextOffset, nextOffset);
  }

  /** Writes the state as plain JSON, with maps in a fixed order. */
  snapshot(): FleetSnapshot {
    return this.#data.toSnapshot();
  }

  /**
   * Writes the state at the time of the call as the JSON text of its snapshot, in slices that may be
   * taken later.
   */
  snapshotSlices(): Generator<string> {
    return this.#data.toSlices();
  }

  /** Writes the state as the JSON text of its snapshot. */
  snapshotText(): string {
    return [...this.snapshotSlices()].join('');
  }

  /** Computes a hash of the whole state, equal in every process at the same offset. */
  hash(): string {
    const hash = createHash('sha256');
    for (const slice of this.snapshotSlices()) hash.update(slice);
    return hash.digest('hex');
  }
}
