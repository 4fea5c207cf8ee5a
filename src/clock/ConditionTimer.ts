/**
 * Measures for how long conditions have held without a break.
 *
 * @example
 * ```ts
 * const timer = new ConditionTimer();
 * timer.measure('short/a', { holds: true, now: 1_000 }); // 0
 * timer.measure('short/a', { holds: true, now: 4_000 }); // 3000
 * timer.measure('short/a', { holds: false, now: 5_000 }); // -1
 * ```
 */
export class ConditionTimer {
  readonly #heldSince = new Map<string, number>();

  /** Takes note of a condition; returns for how many milliseconds it holds, -1 when it does not. */
  measure(condition: string, { holds, now }: { holds: boolean; now: number }): number {
    if (!holds) {
      this.#heldSince.delete(condition);
      return -1;
    }
    const since = this.#heldSince.get(condition) ?? now;
    this.#heldSince.set(condition, since);
    return now - since;
  }
}
