/** Jobs in a window; a shorter one reacts to noise. */
const WINDOW_JOBS = 20;
/** A window slower than this multiple of the baseline lowers the limit. */
const TOLERANCE = 2;
const DECREASE = 0.8;
/** Rise of the baseline with each window, so that a lasting change of the work is accepted. */
const BASELINE_RISE = 1.02;
/** The limit never falls below this part of the slots: the slots already bound each host. */
const LEAST_SHARE = 0.25;

/**
 * A concurrency limit that follows measured latency: additive increase up to the number of slots,
 * multiplicative decrease when jobs run much slower than they did with fewer at a time.
 */
export class ConcurrencyLimit {
  #slots = 0;

  #share = 1;

  #baseline = Infinity;

  #sum = 0;

  #count = 0;

  /** Most jobs that may run at the same time. */
  get value(): number {
    if (this.#slots === 0) return 0;
    return Math.max(1, Math.round(this.#slots * this.#share));
  }

  /** Sets the number of slots, the upper bound of the limit. */
  setSlots(slots: number): void {
    this.#slots = slots;
  }

  /** Records the run time of a job in milliseconds. */
  record(runMs: number): void {
    this.#sum += runMs;
    this.#count += 1;
    if (this.#count < Math.max(WINDOW_JOBS, this.value)) return;
    const mean = this.#sum / this.#count;
    this.#sum = 0;
    this.#count = 0;
    this.#baseline = Math.min(mean, this.#baseline * BASELINE_RISE);
    // One millisecond keeps timer noise of very short jobs from counting as overload.
    const isSlow = mean > TOLERANCE * this.#baseline + 1;
    const step = this.#slots > 0 ? 1 / this.#slots : 0;
    this.#share = isSlow
      ? Math.max(LEAST_SHARE, this.#share * DECREASE)
      : Math.min(1, this.#share + step);
  }
}
