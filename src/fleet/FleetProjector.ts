import type { Fleet } from './Fleet.js';

/**
 * Takes from the fleet what another actor needs and sends it there.
 *
 * The keeper calls it in its own turn, so that no other actor ever reads the state while it changes.
 */
export abstract class FleetProjector {
  /** Reads the fleet after a change; must not keep references into it. */
  abstract project(fleet: Fleet): void;
}
