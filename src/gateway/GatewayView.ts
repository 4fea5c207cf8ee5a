import type { Fleet } from '../fleet/mod.js';
import { FleetProjector } from '../fleet/mod.js';
import type { UpstreamHost } from '../link/mod.js';
import type { Service } from '../service/mod.js';

/** A service with the hosts of this data centre that may get new work for it. */
export interface ServiceView {
  service: Service;
  hosts: UpstreamHost[];
  /** Why no job of the service can ever run as things are configured. */
  obstacle?: string;
}

/** What a gateway needs of the fleet. */
export interface GatewayView {
  nextOffset: number;
  revision: number;
  services: ServiceView[];
  /** Weights of the configured teams. */
  quotas: ReadonlyMap<string, number>;
}

/** Finds out why no host of any data centre could ever run the jobs of a service. */
function findObstacle(fleet: Fleet, { pool: name }: Service): string | undefined {
  const pool = fleet.data.configuration.pool.get(name)?.object;
  if (pool === undefined) return `the pool "${name}" is not configured`;
  const { cores, memoryGb, accelerators } = pool.requires;
  const isFitting = fleet.data.listObjects('host').some(({ resources }) => {
    const hasSize = resources.cores >= cores && resources.memoryGb >= memoryGb;
    return hasSize && resources.accelerators >= accelerators;
  });
  return isFitting ? undefined : `no host has what the pool "${name}" requires`;
}

/** Reads from the fleet what a gateway of a data centre needs. */
export function createGatewayView(fleet: Fleet, dataCentre: string): GatewayView {
  const hosts = fleet.data.listObjects('host').filter((host) => host.dataCentre === dataCentre);
  const services = fleet.data.listObjects('service').map((service) => ({
    service,
    obstacle: findObstacle(fleet, service),
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
  const quotas = new Map(fleet.data.listObjects('team').map(({ name, quota }) => [name, quota]));
  return { nextOffset: fleet.nextOffset, revision: fleet.revision, services, quotas };
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
