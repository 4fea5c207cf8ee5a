/** Percentage of completed work. */
const FULL_PERCENT = 100;
/** Minimum time in ms over which a speed is measured, since hosts report whole percents. */
const MIN_WINDOW_MS = 500;
/** Minimum progress in percent expected in a window, to limit the error of whole percents. */
const MIN_EXPECTED_PERCENT = 8;
/** Factor by which estimates may be too short; larger errors are rare. */
const ESTIMATE_ERROR_FACTOR = 4;
/** Fraction of the reference speed below which a run is slow; tasks of one step differ by less. */
const SLOW_SPEED_RATIO = 1 / 3;

/** Expected duration of a complete run, in ms. */
export interface ExpectedRunTime {
  /** Typical run time of the other tasks of the step; undefined before the first one is done. */
  typicalMs: number | undefined;
  /** Estimated run time, which may be wrong by several times in either direction. */
  estimateMs: number;
}

/** Progress of a run at a time of its host's clock. */
interface ProgressSample {
  atMs: number;
  percent: number;
}

/**
 * Measures the speed of a run from the percentages that its host reports.
 *
 * The speed in the last window is compared with the maximum speed of the run itself or the typical
 * speed of the other tasks of its step, whichever is higher. All times are readings of the host's
 * clock, so that delayed reports do not affect the speed.
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

  /** Speed in percent per ms in the last window; undefined before the first one. */
  #speed: number | undefined;

  #maxSpeed = 0;

  #isSlow: boolean | undefined;

  /** Whether the run was slow in the last window; undefined while unknown. */
  get isSlow(): boolean | undefined {
    return this.#isSlow;
  }

  /** Records a reported percentage. By an estimate alone, only a run without progress is slow. */
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

  /** Estimates the remaining time of the run in ms at the speed of the last window. */
  estimateRemainingMs(): number | undefined {
    if (this.#speed === undefined || this.#lastSample === undefined) return undefined;
    return this.#speed === 0 ? Infinity : (FULL_PERCENT - this.#lastSample.percent) / this.#speed;
  }

  /** Estimates the time of the complete run in ms at its maximum speed. */
  estimateTotalMs(): number | undefined {
    return this.#maxSpeed === 0 ? undefined : FULL_PERCENT / this.#maxSpeed;
  }
}
