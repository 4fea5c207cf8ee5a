import type { LoggedRecord } from '../record/mod.js';

/** Records kept for followers; one that is further behind starts from a snapshot. */
const KEPT_RECORDS = 5_000;
/** Bounds an answer to about 128 KiB at 250 bytes a record. */
const MAX_ANSWER_RECORDS = 500;

/** The last records that a process has folded, in offset order. */
export class RecordRing {
  #records: LoggedRecord[] = [];

  #keptFrom = 0;

  /** Adds the next record. */
  add(record: LoggedRecord): void {
    this.#records.push(record);
    if (this.#records.length <= 2 * KEPT_RECORDS) return;
    this.#records = this.#records.slice(-KEPT_RECORDS);
    this.#keptFrom = this.#records[0]?.offset ?? this.#keptFrom;
  }

  /** Forgets every record, after a snapshot that ends at an offset. */
  reset(nextOffset: number): void {
    this.#records = [];
    this.#keptFrom = nextOffset;
  }

  /** Whether every record from an offset is kept. */
  has(offset: number): boolean {
    return offset >= this.#keptFrom;
  }

  /** Reads records from an offset; `isLast` tells that nothing is kept after them. */
  read(offset: number, max = MAX_ANSWER_RECORDS): { records: LoggedRecord[]; isLast: boolean } {
    const start = this.#findStart(offset);
    const records = this.#records.slice(start, start + max);
    return { records, isLast: start + records.length >= this.#records.length };
  }

  #findStart(offset: number): number {
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
