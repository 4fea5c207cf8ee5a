/** Width in ms of the steps in which arriving work is added up. */
const STEP_MS = 500;
/** Steps over which a rate is averaged: single large jobs are no turn. */
const SMOOTH_STEPS = 4;
/** Arrivals older than this time in ms are forgotten. */
const MEMORY_MS = 180_000;
/** A pool has its turn while its rate is above this part of its highest one. */
const TURN_SHARE = 0.3;
/** And above this part of the highest rate of all pools: what comes between turns is no turn. */
const FLOOR_SHARE = 0.1;
/** Two stretches of one pool that are nearer than this time in ms are one turn. */
const MERGE_MS = 3_000;
/** Turns that have to be seen before the next one is expected. */
const MIN_TURNS = 3;
/** The times between turns may differ from their median by this part. */
const MAX_DEVIATION = 0.35;
/** The newest times between turns that are looked at. */
const COMPARED_INTERVALS = 4;
/** A turn that has not begun by this part of the interval after its time is no longer expected. */
const OVERDUE_SHARE = 0.5;
/** Part of the highest rate that is expected in the first seconds of a turn. */
const BEGIN_SHARE = 0.5;
/** A forecast is made anew after this time in ms. */
const VALID_MS = 250;

interface Turn {
  pool: string;
  begunAt: number;
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
    for (let index = 0; index < SMOOTH_STEPS; index += 1) sum += steps.get(step - index) ?? 0;
    rates.push({ at: step * STEP_MS, rate: sum / (SMOOTH_STEPS * STEP_MS) });
  }
  return rates;
}

/** A turn that is about to begin. */
export interface ExpectedTurn {
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
export class TurnForecast {
  readonly #leadMs: number;

  /** Work of each pool by step, in thousandths of a core times ms. */
  readonly #work = new Map<string, Map<number, number>>();

  #predictedAt = -Infinity;

  #predicted: ExpectedTurn | undefined;

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
  findNext(now: number): ExpectedTurn | undefined {
    if (now - this.#predictedAt < VALID_MS) return this.#predicted;
    this.#predictedAt = now;
    this.#forget(now);
    this.#predicted = this.#compute(now);
    return this.#predicted;
  }

  #compute(now: number): ExpectedTurn | undefined {
    const rates = new Map([...this.#work].map(([pool, steps]) => [pool, listRates(steps)]));
    const peaks = new Map(
      [...rates].map(([pool, list]) => [pool, Math.max(0, ...list.map(({ rate }) => rate))]),
    );
    const floor = FLOOR_SHARE * Math.max(0, ...peaks.values());
    const turns = [...rates]
      .flatMap(([pool, list]) => {
        const least = Math.max(floor, TURN_SHARE * (peaks.get(pool) ?? 0));
        return TurnForecast.#findTurns(pool, list, least);
      })
      .sort((one, other) => one.begunAt - other.begunAt);
    const last = turns.at(-1);
    const intervalMs = TurnForecast.#findInterval(turns);
    if (last === undefined || intervalMs === undefined) return undefined;
    const dueAt = last.begunAt + intervalMs;
    if (now < dueAt - this.#leadMs || now > dueAt + OVERDUE_SHARE * intervalMs) return undefined;
    const pool = TurnForecast.#findNextPool([...peaks.keys()], turns);
    if (pool === undefined) return undefined;
    const ownPeak = turns.some((turn) => turn.pool === pool) ? (peaks.get(pool) ?? 0) : undefined;
    return { pool, rate: BEGIN_SHARE * (ownPeak ?? TurnForecast.#findMedian([...peaks.values()])) };
  }

  /** Finds the pool whose turn was longest ago; the only one without a turn comes first. */
  static #findNextPool(pools: readonly string[], turns: readonly Turn[]): string | undefined {
    const newest = new Map(turns.map(({ pool, begunAt }) => [pool, begunAt]));
    const unseen = pools.filter((pool) => !newest.has(pool));
    if (unseen.length > 1) return undefined;
    return unseen[0] ?? [...newest].sort(([, one], [, other]) => one - other)[0]?.[0];
  }

  /** Finds the time between turns in ms; undefined where turns are not regular. */
  static #findInterval(turns: readonly Turn[]): number | undefined {
    if (turns.length < MIN_TURNS) return undefined;
    const intervals = turns
      .slice(1)
      .map(({ begunAt }, index) => begunAt - (turns[index]?.begunAt ?? 0))
      .slice(-COMPARED_INTERVALS);
    const median = TurnForecast.#findMedian(intervals);
    const isRegular = intervals.every(
      (interval) => Math.abs(interval - median) <= MAX_DEVIATION * median,
    );
    return isRegular && median > 0 ? median : undefined;
  }

  static #findMedian(values: readonly number[]): number {
    const sorted = [...values].sort((one, other) => one - other);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }

  static #findTurns(pool: string, rates: readonly StepRate[], least: number): Turn[] {
    const turns: Turn[] = [];
    let endedAt = -Infinity;
    rates
      .filter(({ rate }) => rate >= least)
      .forEach(({ at }) => {
        if (at - endedAt > MERGE_MS) turns.push({ pool, begunAt: at });
        endedAt = at;
      });
    return turns;
  }

  #forget(now: number): void {
    const oldest = Math.floor((now - MEMORY_MS) / STEP_MS);
    this.#work.forEach((steps, pool) => {
      [...steps.keys()].filter((step) => step < oldest).forEach((step) => steps.delete(step));
      if (steps.size === 0) this.#work.delete(pool);
    });
  }
}
