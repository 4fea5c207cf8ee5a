/** Progress of work that is done. */
const FULL_PERCENT = 100;
/** Shortest time in ms over which a speed is measured: hosts list whole percents. */
const MIN_WINDOW_MS = 500;
/** Percents that a sound run would gain in the window; fewer say little, since percents are whole. */
const MIN_EXPECTED_PERCENT = 8;
/** Estimates may be short by this factor; larger errors are rare in what was played. */
const ESTIMATE_SLACK = 4;
/** A run below this part of the speed that is expected of it is slow; tasks of a step differ by less. */
const SLOW_SHARE = 1 / 3;

/** What is known of the time that a whole run takes, in ms. */
export interface ExpectedTime {
  /** What other tasks of its step took; undefined before one is done. */
  typicalMs: number | undefined;
  /** An estimate, which may be off by several times either way. */
  estimateMs: number;
}

/** Where a run stood at a moment of its host's clock. */
interface Standing {
  atMs: number;
  percent: number;
}

/**
 * Follows how fast the work of one run gets done, from the percentages that its host lists.
 *
 * The speed of the last window is compared with the highest one of the run itself, or with the time
 * that other tasks of its step took. All times are of the host's clock, so that reports that are
 * late on their way change nothing.
 *
 * @example
 * ```ts
 * progress.record(20, 1_000, { typicalMs: 1_000, estimateMs: 4_000 });
 * progress.record(80, 1_600, { typicalMs: 1_000, estimateMs: 4_000 });
 * progress.record(81, 2_200, { typicalMs: 1_000, estimateMs: 4_000 });
 * progress.isSlow; // true
 * ```
 */
export class RunProgress {
  #from: Standing | undefined;

  #last: Standing | undefined;

  /** Percents per ms in the last window; undefined before the first. */
  #speed: number | undefined;

  #highest = 0;

  #isSlow: boolean | undefined;

  /** Slow or not in the last window; undefined while that is not known. */
  get isSlow(): boolean | undefined {
    return this.#isSlow;
  }

  /** Takes a listed percentage. By an estimate alone only a run that stands still counts as slow. */
  record(percent: number, atMs: number, { typicalMs, estimateMs }: ExpectedTime): void {
    if (percent >= FULL_PERCENT) return;
    this.#last = { atMs, percent };
    this.#from ??= this.#last;
    const windowMs = atMs - this.#from.atMs;
    const seen = Math.max(this.#highest, typicalMs === undefined ? 0 : FULL_PERCENT / typicalMs);
    const expected = seen > 0 ? seen : FULL_PERCENT / (ESTIMATE_SLACK * estimateMs);
    if (windowMs < MIN_WINDOW_MS || expected * windowMs < MIN_EXPECTED_PERCENT) return;
    this.#speed = Math.max(0, percent - this.#from.percent) / windowMs;
    this.#isSlow = this.#speed === 0 || this.#speed < SLOW_SHARE * seen;
    this.#highest = Math.max(this.#highest, this.#speed);
    this.#from = this.#last;
  }

  /** Estimates how much longer the run takes at the speed of the last window, in ms. */
  estimateRestMs(): number | undefined {
    if (this.#speed === undefined || this.#last === undefined) return undefined;
    return this.#speed === 0 ? Infinity : (FULL_PERCENT - this.#last.percent) / this.#speed;
  }

  /** Estimates the time of the whole run at its highest speed, in ms. */
  estimateWholeMs(): number | undefined {
    return this.#highest === 0 ? undefined : FULL_PERCENT / this.#highest;
  }
}
