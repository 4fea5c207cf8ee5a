import type { RecordBody } from '../record/mod.js';

/** A controller of a lower rank leaves this much time to each one above it. */
const RANK_DELAY_MS = 500;

/**
 * Holds proposals back by the rank of the controller. What the log decides in the meantime is no
 * longer planned, and is then not proposed a second time.
 *
 * @example
 * ```ts
 * const due = delay.choose(planFleet(fleet), { rank: 1, now: 12_000 });
 * ```
 */
export class ProposalDelay {
  #plannedSince = new Map<string, number>();

  /** Chooses the proposals that were planned without a break for the delay of the rank. */
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
