import type { Clock } from '../clock/mod.js';
import { CLOCK_SKEW_MS, FleetProjector, type Fleet } from '../fleet/mod.js';
import type { UpstreamHost } from '../link/mod.js';
import type { Service } from '../service/mod.js';
import { collectShareViews, computeSlotShare } from '../session/mod.js';

/** A service with the hosts of this data centre that accept new jobs for it. */
export interface ServiceView {
  nextOffset: number;
  service: Service;
  hosts: UpstreamHost[];
  /** Why no job of the service can run under the current configuration. */
  unavailableReason?: string;
}

/** The part of the fleet state that a gateway uses. */
export interface GatewayView {
  nextOffset: number;
  revision: number;
  /**
   * Whether the state contains this gateway's own session, and therefore every record before the
   * start of the session.
   */
  hasOwnSession: boolean;
  services: ServiceView[];
  /** Weights of the configured teams. */
  quotas: ReadonlyMap<string, number>;
}

/** Finds the reason why no host in any data centre can run jobs of a service, if there is one. */
function findUnavailableReason(fleet: Fleet, { pool: name }: Service): string | undefined {
  const pool = fleet.data.configuration.pool.get(name)?.object;
  if (pool === undefined) return `the pool "${name}" is not configured`;
  const { cores, memoryGb, accelerators } = pool.requires;
  // Iterates over the map, since listing would sort it after each batch of records.
  for (const { object } of fleet.data.configuration.host.values()) {
    const { resources } = object;
    const hasCoresAndMemory = resources.cores >= cores && resources.memoryGb >= memoryGb;
    if (hasCoresAndMemory && resources.accelerators >= accelerators) return undefined;
  }
  return `no host has what the pool "${name}" requires`;
}

/** Options for creating a view. */
export interface GatewayViewOptions {
  dataCentre: string;
  session: string;
  /** Lower bound of the current platform time, in milliseconds since the Unix epoch. */
  now: number;
}

/** Creates the view of the fleet for a gateway session in a data centre. */
export function createGatewayView(fleet: Fleet, options: GatewayViewOptions): GatewayView {
  const { dataCentre, session, now } = options;
  const shareViews = collectShareViews(fleet, dataCentre, now);
  const computeShare = (host: string, total: number): number =>
    computeSlotShare(shareViews, { host, session, total });
  const hosts = fleet.data.listHosts(dataCentre);
  const services = fleet.data.listObjects('service').map((service) => ({
    nextOffset: fleet.nextOffset,
    service,
    unavailableReason: findUnavailableReason(fleet, service),
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
  const hasOwnSession = fleet.data.sessions.has(session);
  return {
    nextOffset: fleet.nextOffset,
    revision: fleet.revision,
    hasOwnSession,
    services,
    quotas,
  };
}

/** Passes the current view to a callback after each change of the fleet. */
export class GatewayViewProjector extends FleetProjector {
  readonly #options: { dataCentre: string; clock: Clock };

  readonly #onView: (view: GatewayView) => void;

  #session = '';

  constructor(options: { dataCentre: string; clock: Clock }, onView: (view: GatewayView) => void) {
    super();
    this.#options = options;
    this.#onView = onView;
  }

  /** Sets the session whose shares the next views contain. */
  setSession(session: string): void {
    this.#session = session;
  }

  override project(fleet: Fleet): void {
    const { dataCentre, clock } = this.#options;
    const now = clock.readWall() - CLOCK_SKEW_MS;
    this.#onView(createGatewayView(fleet, { dataCentre, session: this.#session, now }));
  }
}
