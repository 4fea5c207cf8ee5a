/** Weight of a new measurement; the mean follows a change within about 20 jobs. */
const WEIGHT = 0.1;
/** Fall of the high mark with each job that is below it. */
const HIGH_DECAY = 0.995;

/**
 * Estimates run times from measurements only; declared times play no part.
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

  #high = 0;

  /** Whether anything was measured. */
  get isMeasured(): boolean {
    return this.#mean !== undefined;
  }

  /** Moving mean in milliseconds; 0 without a measurement. */
  get mean(): number {
    return this.#mean ?? 0;
  }

  /** High mark of recent run times in milliseconds. */
  get high(): number {
    return this.#high;
  }

  /** Records the run time of one job in milliseconds. */
  record(runMs: number): void {
    this.#mean = this.#mean === undefined ? runMs : this.#mean + WEIGHT * (runMs - this.#mean);
    this.#high = Math.max(runMs, this.#high * HIGH_DECAY);
  }
}
