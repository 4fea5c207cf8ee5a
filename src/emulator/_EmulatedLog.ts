import type { KeyedValue, StoreRecord } from '../port/mod.js';

/** A keyed log of an emulated store. */
export class EmulatedLog {
  readonly records: StoreRecord[] = [];

  /** Offset of the first retained record. */
  first = 0;

  /** Newest record of each key; expiry does not remove it. */
  readonly newest = new Map<string, StoreRecord>();

  /** Callbacks of pending long polls. */
  readonly waiting = new Set<() => void>();

  get end(): number {
    return this.first + this.records.length;
  }

  append(values: readonly KeyedValue[]): number {
    const offset = this.end;
    values.forEach(({ key, value }) => {
      const record = {
        offset: this.end,
        key,
        value: value === undefined ? undefined : Buffer.from(value),
      };
      this.records.push(record);
      if (record.value === undefined) this.newest.delete(key);
      else this.newest.set(key, record);
    });
    [...this.waiting].forEach((wake) => wake());
    return offset;
  }

  expire(): void {
    this.first = this.end;
    this.records.length = 0;
  }
}
