/** Time in ms after the last append of a record in which the store may still execute it. */
const LATE_EXECUTION_MS = 10_000;

/** Keys of records whose unanswered appends the store may still execute. */
export class UncertainRecords {
  /** Monotonic time in ms until which this holds; `Infinity` while the append is repeated. */
  readonly #until = new Map<string, number>();

  /** Checks whether an append of a record may be executed after a monotonic time in ms. */
  has(key: string, now: number): boolean {
    return (this.#until.get(key) ?? -Infinity) > now;
  }

  /** Checks the same for any record whose key begins with a prefix. */
  hasAny(prefix: string, now: number): boolean {
    return [...this.#until.keys()].some((key) => key.startsWith(prefix) && this.has(key, now));
  }

  /** Adds a record whose append was not answered. */
  add(key: string): void {
    this.#until.set(key, Infinity);
  }

  /** Removes a record that is known to be stored. */
  remove(key: string): void {
    this.#until.delete(key);
  }

  /** Removes expired records, and lets those expire later whose appends are no longer repeated. */
  expire(now: number, isRepeated: (key: string) => boolean): void {
    this.#until.forEach((until, key) => {
      if (until <= now) this.#until.delete(key);
      else if (until === Infinity && !isRepeated(key)) {
        this.#until.set(key, now + LATE_EXECUTION_MS);
      }
    });
  }
}
