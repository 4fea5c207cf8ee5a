import { Fleet, type Verdict } from '../fleet/mod.js';
import type { LoggedRecord, Operation, RecordBody } from '../record/mod.js';

/** An in-memory record log for models of several gateways that apply it at different speeds. */
export class InMemoryFleetLog {
  readonly records: LoggedRecord[] = [];

  /** State after all records. */
  readonly fleet = new Fleet();

  /** Platform time in milliseconds. */
  now: number;

  constructor(now: number) {
    this.now = now;
  }

  /** Appends a record at the time `now`. */
  append(body: RecordBody): Verdict {
    const offset = this.records.length;
    const record = { offset, time: this.now, writer: 'model', sequence: offset + 1, body };
    this.records.push(record);
    return this.fleet.apply(record);
  }

  /**
   * Appends a configuration change.
   *
   * @throws An error if the change is rejected.
   */
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
   * Appends the record that opens a gateway session in the data centre `rennes-1`. The default
   * address differs for each session.
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

  /** Applies up to `count` further records to the fleet of a process. */
  follow(fleet: Fleet, count = Infinity): void {
    const from = fleet.nextOffset;
    this.records.slice(from, from + count).forEach((record) => fleet.apply(record));
  }
}
