const FIRST_MS = 100;
const MAX_MS = 5_000;
/** Retries that may follow each other quickly before only the longest delay is left. */
const BUDGET = 10;
/** One quick retry is earned back by this many successes. */
const SUCCESSES_PER_RETRY = 10;

/**
 * Chooses the delay before a retry: exponential with full jitter, and a budget of quick retries, so
 * that a platform that fails every other call is not loaded with twice the calls.
 *
 * @example
 * ```ts
 * const backoff = new Backoff(Math.random);
 * setTimeout(retry, backoff.fail());
 * ```
 */
export class Backoff {
  readonly #random: () => number;

  #failures = 0;

  #budget = BUDGET;

  /** @param random Gives numbers from 0 up to, but not including, 1. */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Takes note of a failure and returns the delay before the next try, in milliseconds. */
  fail(): number {
    const limit = Math.min(MAX_MS, FIRST_MS * 2 ** Math.min(this.#failures, 16));
    this.#failures += 1;
    if (this.#budget < 1) return MAX_MS / 2 + (this.#random() * MAX_MS) / 2;
    this.#budget -= 1;
    return this.#random() * limit;
  }

  /** Takes note of a success. */
  reset(): void {
    this.#failures = 0;
    this.#budget = Math.min(BUDGET, this.#budget + 1 / SUCCESSES_PER_RETRY);
  }
}
