import type { LoggedRecord } from '../record/mod.js';

/** Records retained for followers. A follower that is further behind starts from a snapshot. */
const MIN_KEPT_RECORDS = 5_000;
/** Limits a response to about 128 KiB at 250 bytes per record. */
const MAX_RESPONSE_RECORDS = 500;

/** The records that a process applied last, in offset order. */
export class RecentRecords {
  #records: LoggedRecord[] = [];

  #firstOffset = 0;

  /** Adds the next record and drops old ones beyond twice the minimum. */
  add(record: LoggedRecord): void {
    this.#records.push(record);
    if (this.#records.length <= 2 * MIN_KEPT_RECORDS) return;
    this.#records = this.#records.slice(-MIN_KEPT_RECORDS);
    this.#firstOffset = this.#records[0]?.offset ?? this.#firstOffset;
  }

  /** Drops all records after a snapshot with the given `nextOffset` was restored. */
  reset(nextOffset: number): void {
    this.#records = [];
    this.#firstOffset = nextOffset;
  }

  /** Returns whether all records from an offset on are retained. */
  has(offset: number): boolean {
    return offset >= this.#firstOffset;
  }

  /** Reads records from an offset on; `isLast` is set when no later records are retained. */
  read(offset: number, max = MAX_RESPONSE_RECORDS): { records: LoggedRecord[]; isLast: boolean } {
    const start = this.#findIndex(offset);
    const records = this.#records.slice(start, start + max);
    return { records, isLast: start + records.length >= this.#records.length };
  }

  #findIndex(offset: number): number {
    let low = 0;
    let high = this.#records.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#records[middle]?.offset ?? 0) < offset) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
