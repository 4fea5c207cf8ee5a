import { SystemClock } from './SystemClock.js';

/**
 * The clock of the operating system with an adjustable offset of the wall clock, to emulate step
 * adjustments of the system time and suspensions that the monotonic clock does not count.
 *
 * @example
 * ```ts
 * const clock = new OffsetClock();
 * clock.advanceWall(5_000); // the wall clock is now 5 s ahead
 * ```
 */
export class OffsetClock extends SystemClock {
  #offsetMs = 0;

  override readWall(): number {
    return super.readWall() + this.#offsetMs;
  }

  /** Advances the wall clock by a time in ms, which may be negative. */
  advanceWall(byMs: number): void {
    this.#offsetMs += byMs;
  }
}
