/** Mean delay in ms before the first repeated call. */
const FIRST_DELAY_MS = 45;
/** The mean delay grows by this factor with each failed call. */
const GROWTH_FACTOR = 1.6;
/** A delay differs from its mean by at most this share. */
const JITTER_SHARE = 1 / 3;

/** Options of a `RetryBackoff`. */
export interface RetryBackoffOptions {
  /** Maximum delay in ms. */
  maxMs: number;
  /** Returns a number from 0 up to 1. */
  random?: () => number;
}

/**
 * Computes the delays between repeated calls to the store.
 *
 * The first repeated call follows promptly, since most failures are short. Later ones follow at
 * growing intervals, so that the calls of all nodes together stay within what the store takes: with
 * a maximum of 450 ms, 44 nodes make about 130 calls a second. The delays are random, so that the
 * nodes do not call at the same time.
 *
 * @example
 * ```ts
 * const backoff = new RetryBackoff({ maxMs: 450 });
 * backoff.computeDelay(); // 30 to 60
 * backoff.computeDelay(); // 48 to 96
 * backoff.reset(); // a call has succeeded
 * ```
 */
export class RetryBackoff {
  readonly #maxMs: number;

  readonly #random: () => number;

  #meanMs = FIRST_DELAY_MS;

  constructor({ maxMs, random = Math.random }: RetryBackoffOptions) {
    this.#maxMs = maxMs;
    this.#random = random;
  }

  /** Computes the delay in ms after a call that has failed. */
  computeDelay(): number {
    const jitter = 1 + JITTER_SHARE * (2 * this.#random() - 1);
    const delayMs = Math.min(this.#maxMs, this.#meanMs * jitter);
    this.#meanMs = Math.min(this.#maxMs / (1 + JITTER_SHARE), this.#meanMs * GROWTH_FACTOR);
    return delayMs;
  }

  /** Starts again with the first delay. */
  reset(): void {
    this.#meanMs = FIRST_DELAY_MS;
  }
}
