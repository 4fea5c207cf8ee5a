import { FleetProjector, type Fleet } from '../fleet/mod.js';
import type { KnownHost } from '../host/mod.js';

/** Lists the hosts of the inventory with their status in the fold. */
export class KnownHostsProjector extends FleetProjector {
  readonly #emit: (known: KnownHost[]) => void;

  constructor(emit: (known: KnownHost[]) => void) {
    super();
    this.#emit = emit;
  }

  override project(fleet: Fleet): void {
    const known: KnownHost[] = [];
    fleet.data.configuration.host.forEach(({ object }, host) => {
      const status = fleet.findHostState(host)?.status;
      if (status) known.push({ host, dataCentre: object.dataCentre, status });
    });
    this.#emit(known);
  }
}
