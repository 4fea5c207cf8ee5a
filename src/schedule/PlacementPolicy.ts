import type { ManagedHost } from './ManagedHost.js';
import type { WorkUnit } from './WorkUnit.js';

/** A task with the host that it is placed on. */
export interface Placement {
  index: number;
  host: ManagedHost;
}

/** Options of a placement. */
export interface PlacementOptions {
  now: number;
  /** Hosts that the advice service allows; undefined where no advice is needed. */
  allowed?: ReadonlySet<string>;
}

/** Chooses hosts for the tasks of a unit. */
export abstract class PlacementPolicy {
  /** Chooses a host for each task; undefined when not all of them fit. */
  abstract choose(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    options: PlacementOptions,
  ): Placement[] | undefined;
}
