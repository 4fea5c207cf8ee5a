import { Fleet, type Verdict } from '../fleet/mod.js';
import type { LoggedRecord, Operation, RecordBody } from '../record/mod.js';

/** A log in memory for models of several gateways; each process folds it at its own pace. */
export class SessionLog {
  readonly records: LoggedRecord[] = [];

  /** Everything folded, as the platform sees it. */
  readonly fleet = new Fleet();

  /** Platform time in milliseconds. */
  now: number;

  constructor(now: number) {
    this.now = now;
  }

  /** Appends a record at the present time. */
  append(body: RecordBody): Verdict {
    const offset = this.records.length;
    const record = { offset, time: this.now, writer: 'model', sequence: offset + 1, body };
    this.records.push(record);
    return this.fleet.apply(record);
  }

  /** Appends one accepted change of the configuration. */
  change(operations: Operation[]): void {
    const changeId = String(this.records.length);
    const verdict = this.append({
      type: 'config-change',
      changeId,
      baseRevision: this.fleet.revision,
      part: 1,
      parts: 1,
      operations,
      operator: 'model',
    });
    if (verdict.outcome !== 'accepted') throw new Error(JSON.stringify(verdict));
  }

  /**
   * Appends the record that opens a gateway session of the data centre `rennes-1`; each session has
   * an address of its own, unless it is given one.
   */
  openSession(session: string, address = `127.0.0.1:${1 + this.records.length}`): Verdict {
    return this.append({
      type: 'session-open',
      session,
      role: 'gateway',
      dataCentre: 'rennes-1',
      address,
      peerAddress: address,
    });
  }

  /** Folds up to `count` further records into the fleet of a process. */
  follow(fleet: Fleet, count = Infinity): void {
    const from = fleet.nextOffset;
    this.records.slice(from, from + count).forEach((record) => fleet.apply(record));
  }
}
