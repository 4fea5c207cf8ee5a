import { z } from 'zod';
import type { Fleet } from './Fleet.js';
import type { FleetKeeper } from './FleetKeeper.js';
import { FleetProjector } from './FleetProjector.js';

/** Which state of the fleet a process has in force. */
export const FleetProgress = z.object({
  /** Offset of the next record to fold. */
  nextOffset: z.number().int(),
  /** Offset after the last accepted change of the configuration. */
  revision: z.number().int(),
});
export type FleetProgress = z.infer<typeof FleetProgress>;

class QueryProjector<T> extends FleetProjector {
  readonly #read: (fleet: Fleet) => T;

  readonly #reply: (value: T) => void;

  constructor(read: (fleet: Fleet) => T, reply: (value: T) => void) {
    super();
    this.#read = read;
    this.#reply = reply;
  }

  override project(fleet: Fleet): void {
    this.#reply(this.#read(fleet));
  }
}

/**
 * Reads something from the fleet in the keeper's turn.
 *
 * @param read Must not keep references into the fleet.
 * @example
 * ```ts
 * const hosts = await queryFleet(keeper, (fleet) => describeFleet(fleet).hosts);
 * ```
 */
export function queryFleet<T>(keeper: FleetKeeper, read: (fleet: Fleet) => T): Promise<T> {
  return keeper.ask((reply) => ({ type: 'project', projector: new QueryProjector(read, reply) }));
}

/** Reads which offset and revision a keeper has in force. */
export function readProgress(keeper: FleetKeeper): Promise<FleetProgress> {
  return queryFleet(keeper, ({ nextOffset, revision }) => ({ nextOffset, revision }));
}
