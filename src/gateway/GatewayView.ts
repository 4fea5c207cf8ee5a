import type { Fleet } from '../fleet/mod.js';
import { FleetProjector } from '../fleet/mod.js';
import type { Service } from '../service/mod.js';

/** An upstream host as a gateway sees it. */
export interface UpstreamHost {
  host: string;
  address: string;
  /** Share of the host's slots that this gateway may use. */
  slots: number;
  /** Share of the host's connections that this gateway may use. */
  connections: number;
}

/** A service with the hosts of this data centre that may get new work for it. */
export interface ServiceView {
  service: Service;
  hosts: UpstreamHost[];
}

/** What a gateway needs of the fleet. */
export interface GatewayView {
  nextOffset: number;
  revision: number;
  services: ServiceView[];
}

/** Reads from the fleet what a gateway of a data centre needs. */
export function createGatewayView(fleet: Fleet, dataCentre: string): GatewayView {
  const hosts = fleet.data.listObjects('host').filter((host) => host.dataCentre === dataCentre);
  const services = fleet.data.listObjects('service').map((service) => ({
    service,
    hosts: hosts
      .filter((host) => {
        const state = fleet.findHostState(host.name);
        return state?.pool === service.pool && state.phase === 'serving' && state.status === 'live';
      })
      .map(({ name, address }) => ({
        host: name,
        address,
        slots: service.slotsPerHost,
        connections: service.connectionsPerHost,
      })),
  }));
  return { nextOffset: fleet.nextOffset, revision: fleet.revision, services };
}

/** Sends the view of a data centre to a listener after each change. */
export class GatewayViewProjector extends FleetProjector {
  readonly #dataCentre: string;

  readonly #listener: (view: GatewayView) => void;

  constructor(dataCentre: string, listener: (view: GatewayView) => void) {
    super();
    this.#dataCentre = dataCentre;
    this.#listener = listener;
  }

  override project(fleet: Fleet): void {
    this.#listener(createGatewayView(fleet, this.#dataCentre));
  }
}
