/**
 * Time in ms for which a pool counts as full after a task found no room there; longer than the
 * longest pause between two plans of an overloaded owner.
 */
const FULL_FOR_MS = 300;

/** The pools that have no capacity left for jobs beyond the rate of their organisation. */
export class FullPools {
  /** Monotonic time in ms at which a task last found no room, by pool. */
  readonly #fullAt = new Map<string, number>();

  /** Records that a task without special requirements found no room on the hosts of a pool. */
  report(pool: string, now: number): void {
    this.#fullAt.set(pool, now);
  }

  /** Lists the pools that are full, sorted by name. */
  list(now: number): string[] {
    return [...this.#fullAt]
      .filter(([, fullAt]) => now - fullAt <= FULL_FOR_MS)
      .map(([pool]) => pool)
      .sort();
  }
}
