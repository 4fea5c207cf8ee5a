/** Progress of work that is done. */
const FULL_PERCENT = 100;
/** Shortest time in ms over which a speed is measured: hosts list whole percents. */
const MIN_WINDOW_MS = 500;
/** Percents that a sound run would gain in the window; fewer say little, since percents are whole. */
const MIN_EXPECTED_PERCENT = 8;
/** Estimates may be short by this factor; larger errors are rare in what was played. */
const ESTIMATE_ERROR_FACTOR = 4;
/** A run below this part of the speed that is expected of it is slow; tasks of a step differ by less. */
const SLOW_SPEED_RATIO = 1 / 3;

/** What is known of the time that a whole run takes, in ms. */
export interface ExpectedRunTime {
  /** What other tasks of its step took; undefined before one is done. */
  typicalMs: number | undefined;
  /** An estimate, which may be off by several times either way. */
  estimateMs: number;
}

/** Where a run stood at a moment of its host's clock. */
interface ProgressSample {
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
  #windowStart: ProgressSample | undefined;

  #lastSample: ProgressSample | undefined;

  /** Percents per ms in the last window; undefined before the first. */
  #speed: number | undefined;

  #maxSpeed = 0;

  #isSlow: boolean | undefined;

  /** Slow or not in the last window; undefined while that is not known. */
  get isSlow(): boolean | undefined {
    return this.#isSlow;
  }

  /** Takes a listed percentage. By an estimate alone only a run that stands still counts as slow. */
  record(percent: number, atMs: number, { typicalMs, estimateMs }: ExpectedRunTime): void {
    if (percent >= FULL_PERCENT) return;
    this.#lastSample = { atMs, percent };
    this.#windowStart ??= this.#lastSample;
    const windowMs = atMs - this.#windowStart.atMs;
    const referenceSpeed = Math.max(
      this.#maxSpeed,
      typicalMs === undefined ? 0 : FULL_PERCENT / typicalMs,
    );
    const expected =
      referenceSpeed > 0 ? referenceSpeed : FULL_PERCENT / (ESTIMATE_ERROR_FACTOR * estimateMs);
    if (windowMs < MIN_WINDOW_MS || expected * windowMs < MIN_EXPECTED_PERCENT) return;
    this.#speed = Math.max(0, percent - this.#windowStart.percent) / windowMs;
    this.#isSlow = this.#speed === 0 || this.#speed < SLOW_SPEED_RATIO * referenceSpeed;
    this.#maxSpeed = Math.max(this.#maxSpeed, this.#speed);
    this.#windowStart = this.#lastSample;
  }

  /** Estimates how much longer the run takes at the speed of the last window, in ms. */
  estimateRemainingMs(): number | undefined {
    if (this.#speed === undefined || this.#lastSample === undefined) return undefined;
    return this.#speed === 0 ? Infinity : (FULL_PERCENT - this.#lastSample.percent) / this.#speed;
  }

  /** Estimates the time of the whole run at its highest speed, in ms. */
  estimateTotalMs(): number | undefined {
    return this.#maxSpeed === 0 ? undefined : FULL_PERCENT / this.#maxSpeed;
  }
}
