/** Timeout in ms of an append while the store answers at its usual speed. */
const MIN_TIMEOUT_MS = 700;
/** Maximum timeout in ms; callers wait for about 3 s. */
const MAX_TIMEOUT_MS = 2_500;
/** The timeout is this multiple of the latency of recent appends. */
const TIMEOUT_FACTOR = 3;
/** Weight of a new latency that is below the average; a higher one replaces the average. */
const DECAY_WEIGHT = 0.2;

/**
 * Latency of the appends of one writer, from which it derives their timeout.
 *
 * A store that is slow processes an append also after the writer has given up on it, so a fixed
 * timeout makes every writer append the same records again and again, and the store still slower.
 * The timeout therefore follows the latency, and doubles with every append that is not answered.
 *
 * @example
 * ```ts
 * const latency = new AppendLatency();
 * latency.timeoutMs; // 700
 * latency.recordAnswer(400); // the store has become slow
 * latency.timeoutMs; // 1200
 * ```
 */
export class AppendLatency {
  #averageMs = 0;

  #timeoutMs = MIN_TIMEOUT_MS;

  /** Time limit in ms of the last append if it was not answered, otherwise 0. */
  #waitedMs = 0;

  /** Latency in ms of recent appends; it rises at once and falls with the following appends. */
  get averageMs(): number {
    return this.#averageMs;
  }

  /** Expected latency in ms of the next append: at least the time that the last one waited in vain. */
  get expectedMs(): number {
    return Math.max(this.#averageMs, this.#waitedMs);
  }

  /** Timeout in ms for the next append. */
  get timeoutMs(): number {
    return this.#timeoutMs;
  }

  /** Records the latency in ms of an answered append. */
  recordAnswer(latencyMs: number): void {
    this.#waitedMs = 0;
    const weight = latencyMs > this.#averageMs ? 1 : DECAY_WEIGHT;
    this.#averageMs += weight * (latencyMs - this.#averageMs);
    this.#setTimeout(TIMEOUT_FACTOR * this.#averageMs);
  }

  /** Records an append that was not answered within its timeout. */
  recordTimeout(): void {
    this.#waitedMs = this.#timeoutMs;
    this.#setTimeout(2 * this.#timeoutMs);
  }

  #setTimeout(timeoutMs: number): void {
    this.#timeoutMs = Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, timeoutMs));
  }
}
