/** Length in ms of the time steps in which arriving work is summed up. */
const STEP_MS = 500;
/** Number of time steps over which a rate is averaged, so that a single large job is no burst. */
const SMOOTHING_STEPS = 4;
/** Age in ms beyond which arrivals are discarded. */
const HISTORY_MS = 180_000;
/** A pool is in a burst while its rate is at least this fraction of its own maximum rate ... */
const BURST_RATIO = 0.3;
/** ... and this fraction of the maximum rate of all pools, which excludes load between bursts. */
const MIN_RATE_RATIO = 0.1;
/** Bursts of one pool that are separated by at most this time in ms count as one. */
const MERGE_GAP_MS = 3_000;
/** Minimum number of observed bursts before the next one is forecast. */
const MIN_BURSTS = 3;
/** Maximum deviation of the intervals between bursts from their median, as a fraction of it. */
const MAX_DEVIATION = 0.35;
/** Number of most recent intervals between bursts that are compared. */
const COMPARED_INTERVALS = 4;
/** A burst is no longer expected once it is overdue by this fraction of the interval. */
const OVERDUE_RATIO = 0.5;
/** Rate expected in the first seconds of a burst, as a fraction of the maximum rate. */
const INITIAL_RATE_RATIO = 0.5;
/** Time in ms for which a computed forecast is reused. */
const FORECAST_VALID_MS = 250;

interface Burst {
  pool: string;
  startedAt: number;
}

/** Smoothed arrival rate in millicores up to the time step at a monotonic time. */
interface StepRate {
  at: number;
  rate: number;
}

/** Lists the smoothed rate at each time step from the first to the last one with arrivals. */
function listRates(steps: ReadonlyMap<number, number>): StepRate[] {
  const first = Math.min(...steps.keys());
  const last = Math.max(...steps.keys());
  const rates: StepRate[] = [];
  for (let step = first; step <= last; step += 1) {
    let sum = 0;
    for (let index = 0; index < SMOOTHING_STEPS; index += 1) sum += steps.get(step - index) ?? 0;
    rates.push({ at: step * STEP_MS, rate: sum / (SMOOTHING_STEPS * STEP_MS) });
  }
  return rates;
}

/** A burst that is forecast to start soon. */
export interface ExpectedBurst {
  pool: string;
  /** Expected arrival rate of CPU work in its first seconds, in millicores. */
  rate: number;
}

/**
 * Forecasts which pool has the next burst of demand, if bursts rotate among the pools.
 *
 * If bursts have started at regular intervals, the next one is expected after the same interval, in
 * the pool whose last burst is the oldest, or in the only pool that has had none yet. Without
 * regular intervals there is no forecast. Hosts that are moved on a forecast are up when the first
 * jobs of the burst arrive; if the move waits until the arrivals increase, the hosts are late for
 * these jobs by the duration of the move.
 *
 * @example
 * ```ts
 * forecast.report('studio', 5_000_000, now);
 * forecast.findNext(now); // { pool: 'scores', rate: 320_000 }
 * ```
 */
export class BurstForecast {
  readonly #leadMs: number;

  /** Work that arrived in each pool by time step, in millicores times ms. */
  readonly #work = new Map<string, Map<number, number>>();

  #forecastAt = -Infinity;

  #forecast: ExpectedBurst | undefined;

  /** `leadMs` is how long a burst is reported in ms before its start can be detected. */
  constructor(leadMs: number) {
    this.#leadMs = leadMs;
  }

  /** Records work that arrived at a monotonic time. Calls need not be in order of time. */
  report(pool: string, work: number, at: number): void {
    const steps = this.#work.get(pool) ?? new Map<number, number>();
    const step = Math.floor(at / STEP_MS);
    steps.set(step, (steps.get(step) ?? 0) + work);
    this.#work.set(pool, steps);
  }

  /** Finds the burst that is expected within the lead time or is slightly overdue. */
  findNext(now: number): ExpectedBurst | undefined {
    if (now - this.#forecastAt < FORECAST_VALID_MS) return this.#forecast;
    this.#forecastAt = now;
    this.#prune(now);
    this.#forecast = this.#computeNext(now);
    return this.#forecast;
  }

  #computeNext(now: number): ExpectedBurst | undefined {
    const rates = new Map([...this.#work].map(([pool, steps]) => [pool, listRates(steps)]));
    const maxRates = new Map(
      [...rates].map(([pool, list]) => [pool, Math.max(0, ...list.map(({ rate }) => rate))]),
    );
    const minRate = MIN_RATE_RATIO * Math.max(0, ...maxRates.values());
    const bursts = [...rates]
      .flatMap(([pool, list]) => {
        const threshold = Math.max(minRate, BURST_RATIO * (maxRates.get(pool) ?? 0));
        return BurstForecast.#findBursts(pool, list, threshold);
      })
      .sort((one, other) => one.startedAt - other.startedAt);
    const last = bursts.at(-1);
    const intervalMs = BurstForecast.#findInterval(bursts);
    if (last === undefined || intervalMs === undefined) return undefined;
    const dueAt = last.startedAt + intervalMs;
    if (now < dueAt - this.#leadMs || now > dueAt + OVERDUE_RATIO * intervalMs) return undefined;
    const pool = BurstForecast.#findNextPool([...maxRates.keys()], bursts);
    if (pool === undefined) return undefined;
    const ownMaxRate = bursts.some((burst) => burst.pool === pool)
      ? (maxRates.get(pool) ?? 0)
      : undefined;
    return {
      pool,
      rate: INITIAL_RATE_RATIO * (ownMaxRate ?? BurstForecast.#findMedian([...maxRates.values()])),
    };
  }

  /**
   * Finds the pool whose last burst is the oldest. A pool without a burst takes precedence; if
   * there are several, the next pool is unknown.
   */
  static #findNextPool(pools: readonly string[], bursts: readonly Burst[]): string | undefined {
    const lastStartedAt = new Map(bursts.map(({ pool, startedAt }) => [pool, startedAt]));
    const withoutBurst = pools.filter((pool) => !lastStartedAt.has(pool));
    if (withoutBurst.length > 1) return undefined;
    return withoutBurst[0] ?? [...lastStartedAt].sort(([, one], [, other]) => one - other)[0]?.[0];
  }

  /** Finds the interval between bursts in ms; undefined if they are not regular. */
  static #findInterval(bursts: readonly Burst[]): number | undefined {
    if (bursts.length < MIN_BURSTS) return undefined;
    const intervals = bursts
      .slice(1)
      .map(({ startedAt }, index) => startedAt - (bursts[index]?.startedAt ?? 0))
      .slice(-COMPARED_INTERVALS);
    const median = BurstForecast.#findMedian(intervals);
    const isRegular = intervals.every(
      (interval) => Math.abs(interval - median) <= MAX_DEVIATION * median,
    );
    return isRegular && median > 0 ? median : undefined;
  }

  static #findMedian(values: readonly number[]): number {
    const sorted = [...values].sort((one, other) => one - other);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }

  static #findBursts(pool: string, rates: readonly StepRate[], threshold: number): Burst[] {
    const bursts: Burst[] = [];
    let endedAt = -Infinity;
    rates
      .filter(({ rate }) => rate >= threshold)
      .forEach(({ at }) => {
        if (at - endedAt > MERGE_GAP_MS) bursts.push({ pool, startedAt: at });
        endedAt = at;
      });
    return bursts;
  }

  #prune(now: number): void {
    const oldest = Math.floor((now - HISTORY_MS) / STEP_MS);
    this.#work.forEach((steps, pool) => {
      [...steps.keys()].filter((step) => step < oldest).forEach((step) => steps.delete(step));
      if (steps.size === 0) this.#work.delete(pool);
    });
  }
}
