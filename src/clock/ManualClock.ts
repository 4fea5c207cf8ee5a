import { Clock } from './Clock.js';

/**
 * A clock that moves only when told to.
 *
 * @example
 * ```ts
 * const clock = new ManualClock(1_000);
 * clock.increase(250);
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

  /** Moves both readings forward. */
  advance(byMs: number): void {
    this.#wallMs += byMs;
    this.#monotonicMs += byMs;
  }

  /** Sets the wall clock alone, as a step of the system time does. */
  setWall(wallMs: number): void {
    this.#wallMs = wallMs;
  }
}
