/** Time over which demand is averaged. Longer times keep slots free after a flood has ended. */
const AVERAGE_MS = 3_000;
/**
 * Standard deviations of a Poisson demand that are kept free above its mean. With two, about one in
 * forty arrivals waits for the next slot; with 1.5, the p99 of batch rose 1.3 to 1.5 times.
 */
const DEVIATIONS = 2;

/**
 * Measures how many slots a kind of work needs, from the number of its jobs over time.
 *
 * @example
 * ```ts
 * const meter = new DemandMeter();
 * meter.update(4, now);
 * meter.estimateSlots(); // slots that keep its jobs from waiting, most of the time
 * ```
 */
export class DemandMeter {
  #mean = 0;

  #jobs = 0;

  #at: number | undefined;

  /** Takes the number of jobs that run or wait from `now` on, in monotonic milliseconds. */
  update(jobs: number, now: number): void {
    const passed = Math.max(0, now - (this.#at ?? now));
    this.#mean += (this.#jobs - this.#mean) * (1 - Math.exp(-passed / AVERAGE_MS));
    this.#jobs = jobs;
    this.#at = now;
  }

  /** Estimates the slots with which its jobs rarely wait. */
  estimateSlots(): number {
    return Math.floor(this.#mean + DEVIATIONS * Math.sqrt(this.#mean));
  }
}
