/**
 * Time constant of the moving average. A longer one keeps slots reserved after a flood has ended.
 */
const AVERAGING_TIME_MS = 3_000;
/**
 * Headroom above the mean in standard deviations of a Poisson-distributed demand. With two, about
 * one in forty arrivals waits for the next slot; with 1.5, the p99 of batch rose 1.3 to 1.5 times.
 */
const HEADROOM_DEVIATIONS = 2;

/**
 * Estimates how many slots a class of jobs needs, from the number of its jobs over time.
 *
 * @example
 * ```ts
 * const meter = new DemandMeter();
 * meter.update(4, now);
 * meter.estimateSlots(); // slots with which its jobs rarely wait
 * ```
 */
export class DemandMeter {
  #meanJobs = 0;

  #jobs = 0;

  #updatedAt: number | undefined;

  /** Sets the number of running and queued jobs as of `now`, in monotonic milliseconds. */
  update(jobs: number, now: number): void {
    const elapsedMs = Math.max(0, now - (this.#updatedAt ?? now));
    this.#meanJobs +=
      (this.#jobs - this.#meanJobs) * (1 - Math.exp(-elapsedMs / AVERAGING_TIME_MS));
    this.#jobs = jobs;
    this.#updatedAt = now;
  }

  /** Estimates the number of slots with which the jobs rarely wait. */
  estimateSlots(): number {
    return Math.floor(this.#meanJobs + HEADROOM_DEVIATIONS * Math.sqrt(this.#meanJobs));
  }
}
