import type { Fleet } from './Fleet.js';
import type { FleetKeeper } from './FleetReplica.js';
import { FleetProjector } from './FleetProjector.js';

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
