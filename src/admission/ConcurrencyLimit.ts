/** Minimum number of jobs in a measurement window; a shorter window reacts to noise. */
const WINDOW_JOBS = 20;
/** The limit decreases when the mean of a window exceeds this multiple of the baseline. */
const SLOWDOWN_THRESHOLD = 2;
/** Factor of each decrease of the limit. */
const DECREASE_FACTOR = 0.8;
/** Growth of the baseline per window, so that it adapts to a permanent change in run times. */
const BASELINE_GROWTH_FACTOR = 1.02;
/** Minimum limit as a share of the slots. No lower, because the slots already bound each host. */
const MIN_SHARE = 0.25;

/**
 * An adaptive concurrency limit based on measured run times (AIMD): additive increase up to the
 * number of slots, and multiplicative decrease when jobs run much slower than at lower concurrency.
 */
export class ConcurrencyLimit {
  #slots = 0;

  /** Current limit as a share of the slots. */
  #share = 1;

  /** Mean run time without overload. */
  #baselineMs = Infinity;

  #windowSumMs = 0;

  #windowJobs = 0;

  /** Maximum number of concurrent jobs. */
  get value(): number {
    if (this.#slots === 0) return 0;
    return Math.max(1, Math.round(this.#slots * this.#share));
  }

  /** Sets the number of slots, which is the upper bound of the limit. */
  setSlots(slots: number): void {
    this.#slots = slots;
  }

  /** Records the run time of a job in milliseconds. */
  record(runMs: number): void {
    this.#windowSumMs += runMs;
    this.#windowJobs += 1;
    if (this.#windowJobs < Math.max(WINDOW_JOBS, this.value)) return;
    const mean = this.#windowSumMs / this.#windowJobs;
    this.#windowSumMs = 0;
    this.#windowJobs = 0;
    this.#baselineMs = Math.min(mean, this.#baselineMs * BASELINE_GROWTH_FACTOR);
    // The extra millisecond prevents timer noise of very short jobs from counting as overload.
    const isSlow = mean > SLOWDOWN_THRESHOLD * this.#baselineMs + 1;
    const step = this.#slots > 0 ? 1 / this.#slots : 0;
    this.#share = isSlow
      ? Math.max(MIN_SHARE, this.#share * DECREASE_FACTOR)
      : Math.min(1, this.#share + step);
  }
}
