import { FleetProjector, type Fleet } from '../fleet/mod.js';
import type { KnownHost } from '../host/mod.js';

/** The watched hosts and suspected partitions according to the fleet state. */
export interface KnownHosts {
  hosts: KnownHost[];
  /** Data centres that are suspected to be partitioned. */
  suspectedDataCentres: string[];
}

/** Lists the configured hosts with their status in the fleet state. */
export class KnownHostsProjector extends FleetProjector {
  readonly #emit: (known: KnownHosts) => void;

  constructor(emit: (known: KnownHosts) => void) {
    super();
    this.#emit = emit;
  }

  override project(fleet: Fleet): void {
    const hosts: KnownHost[] = [];
    fleet.data.hostStates.forEach((state, host) => {
      const { status } = state;
      const isInMaintenance = state.phase === 'maintenance';
      const isAway = isInMaintenance && status !== 'live' && state.statusSince > state.phaseSince;
      hosts.push({ host, status, isInMaintenance, isAway, isFaulty: state.isFaulty === true });
    });
    this.#emit({ hosts, suspectedDataCentres: fleet.data.index.listSuspectedPartitions() });
  }
}
