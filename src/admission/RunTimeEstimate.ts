/** Weight of a new sample in the moving mean, which adapts to a change within about 20 jobs. */
const SAMPLE_WEIGHT = 0.1;
/** Decay of the peak with each job that runs shorter than the peak. */
const PEAK_DECAY_FACTOR = 0.995;

/**
 * Estimates run times from measurements only; declared run times are ignored.
 *
 * @example
 * ```ts
 * const estimate = new RunTimeEstimate();
 * estimate.record(40);
 * estimate.mean; // 40
 * ```
 */
export class RunTimeEstimate {
  #mean: number | undefined;

  #peak = 0;

  /** Whether any run time was recorded. */
  get isMeasured(): boolean {
    return this.#mean !== undefined;
  }

  /** Exponential moving mean in milliseconds; 0 if no run time was recorded. */
  get mean(): number {
    return this.#mean ?? 0;
  }

  /** Decaying maximum of recent run times in milliseconds. */
  get peak(): number {
    return this.#peak;
  }

  /** Records the run time of one job in milliseconds. */
  record(runMs: number): void {
    this.#mean =
      this.#mean === undefined ? runMs : this.#mean + SAMPLE_WEIGHT * (runMs - this.#mean);
    this.#peak = Math.max(runMs, this.#peak * PEAK_DECAY_FACTOR);
  }
}
