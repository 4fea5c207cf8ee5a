import type { Fleet } from './Fleet.js';

/**
 * Extracts the part of the fleet state that another actor needs and sends it to that actor.
 *
 * `FleetReplica` calls it while it handles a message, so that no other actor reads the state while
 * it changes.
 */
export abstract class FleetProjector {
  /** Reads the fleet after a change. Must not keep references into it. */
  abstract project(fleet: Fleet): void;
}
