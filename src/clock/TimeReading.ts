/**
 * A point in time on both clocks.
 *
 * Neither clock alone measures an age safely: the monotonic clock does not count a suspension of the
 * machine, and the wall clock may be set back.
 *
 * @example
 * ```ts
 * const sentAt = new TimeReading(1_000, 80_000);
 * // The wall clock counts 4 s of suspension that the monotonic clock does not.
 * sentAt.computeAge(new TimeReading(1_500, 84_500)); // 4500
 * ```
 */
export class TimeReading {
  /** Monotonic time in ms. */
  readonly monotonicMs: number;

  /** Time in ms since the Unix epoch. */
  readonly wallMs: number;

  constructor(monotonicMs: number, wallMs: number) {
    this.monotonicMs = monotonicMs;
    this.wallMs = wallMs;
  }

  /** Computes the age in ms of this reading at a later one: the larger of those by each clock. */
  computeAge(now: TimeReading): number {
    return Math.max(now.monotonicMs - this.monotonicMs, now.wallMs - this.wallMs);
  }
}
