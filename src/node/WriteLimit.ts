/** Maximum number of records that wait for the store: ten appends of the maximum size. */
const MAX_QUEUED_RECORDS = 2_000;
/** Maximum size in bytes of these records; the smallest machine has 250 MB for the whole process. */
const MAX_QUEUED_BYTES = 8 * 1_024 * 1_024;
/** An append that is faster than this, in ms, does not matter for the deadline of a caller. */
const MIN_SLOW_MS = 100;

/** Records that wait for the store, and the append in flight. */
export interface WriteBacklog {
  records: number;
  bytes: number;
  /** Time in ms for which the append in flight has waited; undefined if there is none. */
  inFlightMs: number | undefined;
}

/** Options of a `WriteLimit`: the size of one append. */
export interface WriteLimitOptions {
  batchRecords: number;
  batchBytes: number;
}

/**
 * Bounds the records that wait for the store by their number, their size, and the time that recent
 * appends suggest until they are stored.
 *
 * A caller whose record cannot be stored before its deadline is refused at once, so that it can try
 * again, instead of being held for a response that comes too late.
 *
 * @example
 * ```ts
 * const limit = new WriteLimit({ batchRecords: 200, batchBytes: 524_288 });
 * WriteLimit.canStore(500, 240); // true: an append takes 240 ms, and the deadline is in 500 ms
 * limit.canAdmit({ records: 600, bytes: 90_000, inFlightMs: 0 }, { latencyMs: 900, remainingMs: 2_850 });
 * // false: five appends take 4.5 s
 * ```
 */
export class WriteLimit {
  readonly #options: WriteLimitOptions;

  constructor(options: WriteLimitOptions) {
    this.#options = options;
  }

  /**
   * Checks whether one more record can be stored within its remaining time in ms. A record that waits
   * for no other is always admitted: only an append shows that the store is no longer slow.
   */
  canAdmit(
    { records, bytes, inFlightMs }: WriteBacklog,
    { latencyMs, remainingMs }: { latencyMs: number; remainingMs: number },
  ): boolean {
    if (records >= MAX_QUEUED_RECORDS || bytes >= MAX_QUEUED_BYTES) return false;
    if (records === 0 && inFlightMs === undefined) return true;
    const { batchRecords, batchBytes } = this.#options;
    const appends = 1 + Math.floor(Math.max(records / batchRecords, bytes / batchBytes));
    // The append in flight takes at least as long as it has waited, and so do those after it.
    const appendMs = Math.max(latencyMs, inFlightMs ?? 0);
    const inFlightLeftMs = inFlightMs === undefined ? 0 : appendMs - inFlightMs;
    return WriteLimit.#isInTime(inFlightLeftMs + appends * appendMs, remainingMs);
  }

  /** Checks whether a record that is sent now can be stored within its remaining time in ms. */
  static canStore(remainingMs: number, latencyMs: number): boolean {
    return WriteLimit.#isInTime(latencyMs, remainingMs);
  }

  static #isInTime(expectedMs: number, remainingMs: number): boolean {
    return expectedMs < MIN_SLOW_MS || expectedMs <= remainingMs;
  }
}
