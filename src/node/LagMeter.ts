/** Weight of the newest tick in the mean. */
const WEIGHT = 0.05;
/** Mean delay in ms above which the process counts as unable to keep up. */
const MAX_MEAN_LAG_MS = 100;
/** Number of ticks before the mean is used. */
const MIN_TICKS = 40;

/**
 * Measures how late the ticks of a task run, as an exponential moving average.
 *
 * @example
 * ```ts
 * const lag = new LagMeter(50);
 * lag.recordTick(now); // every 50 ms
 * lag.isOverloaded; // the process does not keep up with its work
 * ```
 */
export class LagMeter {
  readonly #intervalMs: number;

  #lastAt: number | undefined;

  #meanMs = 0;

  #ticks = 0;

  /** @param intervalMs Time in ms between two ticks of a process that is not late. */
  constructor(intervalMs: number) {
    this.#intervalMs = intervalMs;
  }

  /** Mean delay of a tick in ms. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** The ticks have been late for some time, not only once. */
  get isOverloaded(): boolean {
    return this.#ticks >= MIN_TICKS && this.#meanMs > MAX_MEAN_LAG_MS;
  }

  /** Records a tick at a monotonic time in ms. */
  recordTick(now: number): void {
    const last = this.#lastAt;
    this.#lastAt = now;
    if (last === undefined) return;
    // A single long pause is no lack of processor time, so it counts for at most a few ticks.
    const lagMs = Math.min(Math.max(0, now - last - this.#intervalMs), 10 * this.#intervalMs);
    this.#meanMs += WEIGHT * (lagMs - this.#meanMs);
    this.#ticks += 1;
  }
}
