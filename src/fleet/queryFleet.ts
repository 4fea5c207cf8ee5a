import type { Fleet } from './Fleet.js';
import type { FleetReplica } from './FleetReplica.js';
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
 * Reads a value from the fleet while `FleetReplica` handles a message, so that the state cannot
 * change.
 *
 * @param read Computes the value. It must not keep references into the fleet.
 * @example
 * ```ts
 * const hosts = await queryFleet(replica, (fleet) => describeFleet(fleet).hosts);
 * ```
 */
export function queryFleet<T>(replica: FleetReplica, read: (fleet: Fleet) => T): Promise<T> {
  return replica.ask((reply) => ({ type: 'project', projector: new QueryProjector(read, reply) }));
}
