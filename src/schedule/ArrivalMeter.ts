/** Length of the averaging window in ms. */
const WINDOW_MS = 1_200;
/** Length in ms of the short window, in which an increase shows first. */
const RECENT_MS = 500;
/** Minimum number of arrivals in the short window for its rate to be significant. */
const MIN_RECENT_JOBS = 3;

/** An arriving job. */
export interface Arrival {
  /** Monotonic time in ms. */
  at: number;
  /** CPU work in millicores times ms. */
  work: number;
  /** Organisation of the job; undefined if it has none. */
  organisation?: string | undefined;
}

/**
 * Measures the rate at which CPU work arrives in each pool.
 *
 * A burst of several times the mean rate shows within half a second of arrivals, before a backlog
 * has built up. Machine moves that start then are complete by the time the backlog would form.
 *
 * @example
 * ```ts
 * meter.report('studio', { at: now, work: 5_000_000 });
 * meter.measureRate('studio', now, () => Infinity); // millicores
 * ```
 */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  /** Records the CPU work of an arriving job. */
  report(pool: string, arrival: Arrival): void {
    const { at } = arrival;
    const arrivals = this.#arrivals.get(pool) ?? [];
    arrivals.push(arrival);
    while ((arrivals[0]?.at ?? at) < at - WINDOW_MS) arrivals.shift();
    this.#arrivals.set(pool, arrivals);
  }

  /**
   * Measures the arrival rate of CPU work in a pool, in millicores. The rate of an organisation
   * counts only up to the number of millicores that it may use.
   */
  measureRate(
    pool: string,
    now: number,
    getLimit: (organisation: string | undefined) => number,
  ): number {
    const arrivals = this.#arrivals.get(pool) ?? [];
    const windowArrivals = arrivals.filter(({ at }) => at >= now - WINDOW_MS);
    const recentArrivals = windowArrivals.filter(({ at }) => at >= now - RECENT_MS);
    const windowRate = ArrivalMeter.#computeRate(windowArrivals, WINDOW_MS, getLimit);
    if (recentArrivals.length < MIN_RECENT_JOBS) return windowRate;
    return Math.max(windowRate, ArrivalMeter.#computeRate(recentArrivals, RECENT_MS, getLimit));
  }

  static #computeRate(
    arrivals: readonly Arrival[],
    windowMs: number,
    getLimit: (organisation: string | undefined) => number,
  ): number {
    const works = new Map<string | undefined, number>();
    arrivals.forEach(({ organisation, work }) => {
      works.set(organisation, (works.get(organisation) ?? 0) + work);
    });
    return [...works].reduce(
      (sum, [organisation, work]) => sum + Math.min(getLimit(organisation), work / windowMs),
      0,
    );
  }
}
