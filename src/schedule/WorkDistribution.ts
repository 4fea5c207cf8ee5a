/** Number of recent jobs whose work is kept; some bursts of a queue. */
const WINDOW_JOBS = 512;
/** Minimum number of jobs before any of them counts as large. */
const MIN_JOBS = 10;
/** Fraction of the jobs below the largest tenth. */
const LARGEST_TENTH_FROM = 0.9;

/**
 * The work of the recent jobs of a queue: their mean, and which work is among the largest tenth.
 *
 * @example
 * ```ts
 * distribution.add(92);
 * distribution.mean; // 92
 * distribution.isLargest(92); // false: too few jobs are known
 * ```
 */
export class WorkDistribution {
  /** Work of the jobs in the window, in the order of their arrival. */
  readonly #recent: number[] = [];

  /** The same work, ascending. */
  readonly #sorted: number[] = [];

  #sum = 0;

  /** Adds the work of a job. */
  add(work: number): void {
    this.#recent.push(work);
    this.#sorted.splice(this.#findIndex(work), 0, work);
    this.#sum += work;
    if (this.#recent.length <= WINDOW_JOBS) return;
    const oldest = this.#recent.shift() ?? 0;
    this.#sorted.splice(this.#findIndex(oldest), 1);
    this.#sum -= oldest;
  }

  /** Mean work of the jobs; 0 if there is none. */
  get mean(): number {
    return this.#recent.length === 0 ? 0 : this.#sum / this.#recent.length;
  }

  /** Checks whether at least nine tenths of the jobs have less work. */
  isLargest(work: number): boolean {
    const { length } = this.#sorted;
    if (length < MIN_JOBS) return false;
    return work >= (this.#sorted[Math.floor(length * LARGEST_TENTH_FROM)] ?? Infinity);
  }

  /** Finds the index of the first job with at least a given work. */
  #findIndex(work: number): number {
    let low = 0;
    let high = this.#sorted.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#sorted[middle] ?? Infinity) < work) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
