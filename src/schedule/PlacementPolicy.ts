import type { ManagedHost } from './ManagedHost.js';
import type { WorkUnit } from './WorkUnit.js';

/** Assignment of a task to a host. */
export interface Placement {
  /** Index of the task within its step. */
  index: number;
  host: ManagedHost;
}

/** Options of a placement decision. */
export interface PlacementOptions {
  now: number;
  /** Hosts that the advice service allows; undefined if no advice is required. */
  allowed?: ReadonlySet<string>;
}

/** Decides on which hosts the tasks of a unit are placed. */
export abstract class PlacementPolicy {
  /** Chooses a host for each task of a unit; returns undefined if not all of them fit. */
  abstract choose(
    unit: WorkUnit,
    hosts: readonly ManagedHost[],
    options: PlacementOptions,
  ): Placement[] | undefined;
}
