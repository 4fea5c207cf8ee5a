import type { RecordBody } from '../record/mod.js';

/** Delay per rank, which leaves controllers of lower ranks time to propose first. */
const RANK_DELAY_MS = 500;

/**
 * Delays proposals in proportion to the rank of the controller. A decision that another controller
 * has recorded in the log in the meantime is no longer planned, so it is not proposed again.
 *
 * @example
 * ```ts
 * const due = delay.choose(planFleet(fleet), { rank: 1, now: 12_000 });
 * ```
 */
export class ProposalDelay {
  #plannedSince = new Map<string, number>();

  /**
   * Chooses the proposals that have been planned without interruption for the delay of the rank.
   */
  choose(bodies: RecordBody[], { rank, now }: { rank: number; now: number }): RecordBody[] {
    const keyedBodies = bodies.map((body) => ({ body, key: JSON.stringify(body) }));
    this.#plannedSince = new Map(
      keyedBodies.map(({ key }) => [key, this.#plannedSince.get(key) ?? now] as const),
    );
    return keyedBodies
      .filter(({ key }) => now - (this.#plannedSince.get(key) ?? now) >= rank * RANK_DELAY_MS)
      .map(({ body }) => body);
  }
}
