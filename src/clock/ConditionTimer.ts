/**
 * Measures how long named conditions have held without interruption.
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

  /** Updates a condition; returns how long it has held in milliseconds, or -1 if it does not hold. */
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
