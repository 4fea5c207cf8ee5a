/** Arrivals of this time in ms are remembered. */
const WINDOW_MS = 1_200;
/** The newest arrivals, which show a rise first, in ms. */
const RECENT_MS = 500;
/** Jobs in the recent window below which it says nothing about a rise. */
const MIN_RECENT_JOBS = 3;

interface Arrival {
  at: number;
  /** Processor work in thousandths of a core times ms. */
  work: number;
}

/**
 * Measures how much processor work arrives in a pool per ms.
 *
 * A queue that rises to several times its mean shows in the arrivals of half a second, before a
 * backlog has built up; moves that begin then are over when the backlog would have begun.
 *
 * @example
 * ```ts
 * meter.report('studio', 5_000_000, now);
 * meter.measureRate('studio', now); // thousandths of a core
 * ```
 */
export class ArrivalMeter {
  readonly #arrivals = new Map<string, Arrival[]>();

  /** Records a job's work as it arrives. */
  report(pool: string, work: number, now: number): void {
    const arrivals = this.#arrivals.get(pool) ?? [];
    arrivals.push({ at: now, work });
    while ((arrivals[0]?.at ?? now) < now - WINDOW_MS) arrivals.shift();
    this.#arrivals.set(pool, arrivals);
  }

  /** Measures the rate at which work arrives, in thousandths of a core. */
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
