import type { Clock } from '../clock/mod.js';

/**
 * Time in ms without activity after which ownership has to be confirmed; half of the silence after
 * which other nodes claim the shard.
 */
const MAX_GAP_MS = 500;

/**
 * Tells whether an owner may still give orders after its process has stood still.
 *
 * While a process is suspended, or so slow that its tasks wait, another node may claim the shard.
 * The process does not notice it until it reads or appends again, but orders that it prepared
 * before may be sent at once. After a gap the owner therefore gives no orders until the store has
 * accepted an append that was sent after the gap: the store rejects it if there has been a claim.
 * A process that was only slow keeps the shard.
 *
 * @example
 * ```ts
 * const check = new OwnershipCheck(clock);
 * check.recordActivity(); // at every message
 * check.isConfirmed; // false after a gap of 0.5 s
 * check.recordAppend(check.gaps); // the append was sent after the gap
 * ```
 */
export class OwnershipCheck {
  readonly #clock: Clock;

  #monotonicMs: number;

  #wallMs: number;

  /** Number of gaps so far; an append confirms the ownership only if no gap follows its sending. */
  #gaps = 0;

  #confirmedGaps = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#monotonicMs = clock.readMonotonic();
    this.#wallMs = clock.readWall();
  }

  /** No gap has occurred since the last confirming append was sent. */
  get isConfirmed(): boolean {
    return this.#gaps === this.#confirmedGaps;
  }

  /** Number of gaps so far, to be passed to `recordAppend` with an append that is sent now. */
  get gaps(): number {
    return this.#gaps;
  }

  /**
   * Records that the process is active; returns the length in ms of the gap that has just ended, or
   * 0 if there was none. The monotonic clock does not count a suspension of the machine, and the
   * wall clock may be set back, so the longer time counts.
   */
  recordActivity(): number {
    const monotonicMs = this.#clock.readMonotonic();
    const wallMs = this.#clock.readWall();
    const elapsedMs = Math.max(monotonicMs - this.#monotonicMs, wallMs - this.#wallMs);
    this.#monotonicMs = monotonicMs;
    this.#wallMs = wallMs;
    if (elapsedMs <= MAX_GAP_MS) return 0;
    this.#gaps += 1;
    return elapsedMs;
  }

  /** Records that the store has accepted an append that was sent after the given number of gaps. */
  recordAppend(gapsWhenSent: number): void {
    this.#confirmedGaps = Math.max(this.#confirmedGaps, gapsWhenSent);
  }
}
