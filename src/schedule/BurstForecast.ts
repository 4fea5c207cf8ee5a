/** Width in ms of the steps in which arriving work is added up. */
const STEP_MS = 500;
/** Steps over which a rate is averaged: single large jobs are no turn. */
const SMOOTHING_STEPS = 4;
/** Arrivals older than this time in ms are forgotten. */
const HISTORY_MS = 180_000;
/** A pool has its turn while its rate is above this part of its highest one. */
const BURST_RATIO = 0.3;
/** And above this part of the highest rate of all pools: what comes between turns is no turn. */
const MIN_RATE_RATIO = 0.1;
/** Two stretches of one pool that are nearer than this time in ms are one turn. */
const MERGE_GAP_MS = 3_000;
/** Turns that have to be seen before the next one is expected. */
const MIN_BURSTS = 3;
/** The times between turns may differ from their median by this part. */
const MAX_DEVIATION = 0.35;
/** The newest times between turns that are looked at. */
const COMPARED_INTERVALS = 4;
/** A turn that has not begun by this part of the interval after its time is no longer expected. */
const OVERDUE_RATIO = 0.5;
/** Part of the highest rate that is expected in the first seconds of a turn. */
const INITIAL_RATE_RATIO = 0.5;
/** A forecast is made anew after this time in ms. */
const FORECAST_VALID_MS = 250;

interface Burst {
  pool: string;
  startedAt: number;
}

/** The rate of a pool's work up to the step at a steady time, in thousandths of a core. */
interface StepRate {
  at: number;
  rate: number;
}

/** Lists the smoothed rate at each step between the first and the last one with work. */
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

/** A turn that is about to begin. */
export interface ExpectedBurst {
  pool: string;
  /** Work that arrives in its first seconds, in thousandths of a core. */
  rate: number;
}

/**
 * Expects which pool's demand rises next, where the demand of pools rises by turns.
 *
 * When turns have begun at regular times, the next one is expected after the same time, in the pool
 * whose turn was longest ago; one pool that has had none yet comes before. Without regular turns
 * nothing is expected. Hosts that are moved then are there when the first jobs arrive, while a rise
 * that shows in the arrivals comes too late for them by the time that a move takes.
 *
 * @example
 * ```ts
 * forecast.report('studio', 5_000_000, now);
 * forecast.findNext(now); // { pool: 'scores', rate: 320_000 }
 * ```
 */
export class BurstForecast {
  readonly #leadMs: number;

  /** Work of each pool by step, in thousandths of a core times ms. */
  readonly #work = new Map<string, Map<number, number>>();

  #forecastAt = -Infinity;

  #forecast: ExpectedBurst | undefined;

  /** `leadMs` is how long before the time at which its begin would be noticed a turn is told. */
  constructor(leadMs: number) {
    this.#leadMs = leadMs;
  }

  /** Records work that arrived at a steady time, in any order. */
  report(pool: string, work: number, at: number): void {
    const steps = this.#work.get(pool) ?? new Map<number, number>();
    const step = Math.floor(at / STEP_MS);
    steps.set(step, (steps.get(step) ?? 0) + work);
    this.#work.set(pool, steps);
  }

  /** Finds the turn that begins within the lead, or has been due for a short while. */
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

  /** Finds the pool whose turn was longest ago; the only one without a turn comes first. */
  static #findNextPool(pools: readonly string[], bursts: readonly Burst[]): string | undefined {
    const lastStartedAt = new Map(bursts.map(({ pool, startedAt }) => [pool, startedAt]));
    const withoutBurst = pools.filter((pool) => !lastStartedAt.has(pool));
    if (withoutBurst.length > 1) return undefined;
    return withoutBurst[0] ?? [...lastStartedAt].sort(([, one], [, other]) => one - other)[0]?.[0];
  }

  /** Finds the time between turns in ms; undefined where turns are not regular. */
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
