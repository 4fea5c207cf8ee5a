import { Clock } from './Clock.js';

/**
 * A clock for tests that advances only on request.
 *
 * @example
 * ```ts
 * const clock = new ManualClock(1_000);
 * clock.advance(250);
 * clock.readWall(); // 1250
 * ```
 */
export class ManualClock extends Clock {
  #wallMs: number;

  #monotonicMs = 0;

  constructor(wallMs = 0) {
    super();
    this.#wallMs = wallMs;
  }

  override readWall(): number {
    return this.#wallMs;
  }

  override readMonotonic(): number {
    return this.#monotonicMs;
  }

  /** Advances the wall clock and the monotonic clock by the same time. */
  advance(byMs: number): void {
    this.#wallMs += byMs;
    this.#monotonicMs += byMs;
  }

  /** Sets only the wall clock, as a step adjustment of the system time does. */
  setWall(wallMs: number): void {
    this.#wallMs = wallMs;
  }
}
