/** Length of the averaging window in ms. */
const WINDOW_MS = 1_200;
/** Length in ms of the short window, in which an increase shows first. */
const RECENT_MS = 500;
/** Minimum number of arrivals in the short window for its rate to be significant. */
const MIN_RECENT_JOBS = 3;

interface Arrival {
  at: number;
  /** CPU work in millicores times ms. */
  work: number;
}

/**
 * Measures the rate at which CPU work arrives in each pool.
 *
 * A burst of several times the mean rate shows within half a second of arrivals, before a backlog
 * has built up. Machine moves that start then are complete by the time the backlog would form.
 *
 * @example
 * ```ts
 * meter.report('studio', 5_000_000, now);
 * meter.measureRate('studio', now); // millicores
 * ```
 */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  /** Records the CPU work of an arriving job. */
  report(pool: string, work: number, now: number): void {
    const arrivals = this.#arrivals.get(pool) ?? [];
    arrivals.push({ at: now, work });
    while ((arrivals[0]?.at ?? now) < now - WINDOW_MS) arrivals.shift();
    this.#arrivals.set(pool, arrivals);
  }

  /** Measures the arrival rate of CPU work in a pool, in millicores. */
  measureRate(pool: string, now: number): number {
    const arrivals = this.#arrivals.get(pool) ?? [];
    const windowArrivals = arrivals.filter(({ at }) => at >= now - WINDOW_MS);
    const recentArrivals = windowArrivals.filter(({ at }) => at >= now - RECENT_MS);
    const windowRate = ArrivalMeter.#computeTotalWork(windowArrivals) / WINDOW_MS;
    if (recentArrivals.length < MIN_RECENT_JOBS) return windowRate;
    return Math.max(windowRate, ArrivalMeter.#computeTotalWork(recentArrivals) / RECENT_MS);
  }

  static #computeTotalWork(arrivals: readonly Arrival[]): number {
    return arrivals.reduce((sum, { work }) => sum + work, 0);
  }
}
