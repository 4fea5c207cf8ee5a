const BASE_DELAY_MS = 100;
const MAX_DELAY_MS = 5_000;
/** Retries with a short delay that are allowed before every retry gets the longest delay. */
const MAX_QUICK_RETRIES = 10;
/** Number of successes that restore one quick retry. */
const SUCCESSES_PER_RETRY = 10;

/**
 * Computes retry delays: exponential backoff with full jitter and a budget of quick retries. The
 * budget keeps a platform that fails every other call from receiving twice the load.
 *
 * @example
 * ```ts
 * const backoff = new Backoff(Math.random);
 * setTimeout(retry, backoff.recordFailure());
 * ```
 */
export class Backoff {
  readonly #random: () => number;

  #failures = 0;

  #quickRetries = MAX_QUICK_RETRIES;

  /** @param random Returns numbers from 0 up to, but not including, 1. */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Records a failure and returns the delay before the next attempt, in milliseconds. */
  recordFailure(): number {
    const maxDelayMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** Math.min(this.#failures, 16));
    this.#failures += 1;
    if (this.#quickRetries < 1) return MAX_DELAY_MS / 2 + (this.#random() * MAX_DELAY_MS) / 2;
    this.#quickRetries -= 1;
    return this.#random() * maxDelayMs;
  }

  /** Records a success, which resets the exponential delay and restores part of the budget. */
  recordSuccess(): void {
    this.#failures = 0;
    this.#quickRetries = Math.min(MAX_QUICK_RETRIES, this.#quickRetries + 1 / SUCCESSES_PER_RETRY);
  }
}
