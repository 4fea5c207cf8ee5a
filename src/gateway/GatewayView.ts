import type { Clock } from '../clock/mod.js';
import { CLOCK_SKEW_MS, FleetProjector, type Fleet } from '../fleet/mod.js';
import type { UpstreamHost } from '../link/mod.js';
import type { Service } from '../service/mod.js';
import { collectShareViews, computeSlotShare } from '../session/mod.js';

/** A service with the hosts of this data centre that may get new work for it. */
export interface ServiceView {
  nextOffset: number;
  service: Service;
  hosts: UpstreamHost[];
  /** Why no job of the service can ever run as things are configured. */
  obstacle?: string;
}

/** What a gateway needs of the fleet. */
export interface GatewayView {
  nextOffset: number;
  revision: number;
  /** Whether the state contains the session itself, and so everything before its start. */
  isOpen: boolean;
  services: ServiceView[];
  /** Weights of the configured teams. */
  quotas: ReadonlyMap<string, number>;
}

/** Finds out why no host of any data centre could ever run the jobs of a service. */
function findObstacle(fleet: Fleet, { pool: name }: Service): string | undefined {
  const pool = fleet.data.configuration.pool.get(name)?.object;
  if (pool === undefined) return `the pool "${name}" is not configured`;
  const { cores, memoryGb, accelerators } = pool.requires;
  // Iterated rather than listed: a list is sorted, and this runs after each batch of records.
  for (const { object } of fleet.data.configuration.host.values()) {
    const { resources } = object;
    const hasSize = resources.cores >= cores && resources.memoryGb >= memoryGb;
    if (hasSize && resources.accelerators >= accelerators) return undefined;
  }
  return `no host has what the pool "${name}" requires`;
}

/** Options of a view. */
export interface GatewayViewOptions {
  dataCentre: string;
  session: string;
  /** Lower bound of the platform time in milliseconds. */
  now: number;
}

/** Reads from the fleet what a gateway session of a data centre needs. */
export function createGatewayView(fleet: Fleet, options: GatewayViewOptions): GatewayView {
  const { dataCentre, session, now } = options;
  const shareViews = collectShareViews(fleet, dataCentre, now);
  const computeShare = (host: string, total: number): number =>
    computeSlotShare(shareViews, { host, session, total });
  const hosts = fleet.data.listHosts(dataCentre);
  const services = fleet.data.listObjects('service').map((service) => ({
    nextOffset: fleet.nextOffset,
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
        slots: computeShare(name, service.slotsPerHost),
        connections: computeShare(name, service.connectionsPerHost),
      })),
  }));
  const quotas = new Map(fleet.data.listObjects('team').map(({ name, quota }) => [name, quota]));
  const isOpen = fleet.data.sessions.has(session);
  return { nextOffset: fleet.nextOffset, revision: fleet.revision, isOpen, services, quotas };
}

/** Sends the view of a data centre to a listener after each change. */
export class GatewayViewProjector extends FleetProjector {
  readonly #options: { dataCentre: string; clock: Clock };

  readonly #listener: (view: GatewayView) => void;

  #session = '';

  constructor(
    options: { dataCentre: string; clock: Clock },
    listener: (view: GatewayView) => void,
  ) {
    super();
    this.#options = options;
    this.#listener = listener;
  }

  /** Sets the session whose shares are sent from now on. */
  setSession(session: string): void {
    this.#session = session;
  }

  override project(fleet: Fleet): void {
    const { dataCentre, clock } = this.#options;
    const now = clock.readWall() - CLOCK_SKEW_MS;
    this.#listener(createGatewayView(fleet, { dataCentre, session: this.#session, now }));
  }
}
