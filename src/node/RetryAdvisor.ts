/** Minimum and maximum time in ms after which a refused caller is told to return. */
const MIN_RETRY_MS = 1_000;
const MAX_RETRY_MS = 4_000;
/** Range in ms over which the returns of callers that are refused together are spread. */
const SPREAD_MS = 1_000;

/**
 * Tells refused callers when to return while the store accepts no records.
 *
 * Nobody knows when an outage ends; the best estimate is that it lasts as long again as it has
 * lasted. Callers retry a few times only, so with a fixed short time most of them have used up
 * their retries before an outage of some seconds ends. Their returns are spread, so that they do
 * not come as one wave.
 *
 * @example
 * ```ts
 * const advisor = new RetryAdvisor(Math.random);
 * advisor.recordRefusal(now); // the store has refused a record
 * advisor.computeRetryAfter(now); // 1000 to 2000
 * advisor.recordStored(); // the outage has ended
 * ```
 */
export class RetryAdvisor {
  readonly #random: () => number;

  #outageSince: number | undefined;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** Records that the store has refused a record, at a monotonic time in ms. */
  recordRefusal(now: number): void {
    this.#outageSince ??= now;
  }

  /** Records that the store has accepted a record. */
  recordStored(): void {
    this.#outageSince = undefined;
  }

  /** Computes the time in ms after which a caller that is refused now should return. */
  computeRetryAfter(now: number): number {
    const outageMs = now - (this.#outageSince ?? now);
    const baseMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, outageMs));
    return Math.round(baseMs + this.#random() * SPREAD_MS);
  }
}
