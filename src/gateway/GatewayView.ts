import type { Clock } from '../clock/mod.js';
import { CLOCK_SKEW_MS, FleetProjector, type Fleet } from '../fleet/mod.js';
import type { Service } from '../service/mod.js';
import { collectShareViews, computeSlotShare } from '../session/mod.js';

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
  nextOffset: number;
  service: Service;
  hosts: UpstreamHost[];
}

/** What a gateway needs of the fleet. */
export interface GatewayView {
  nextOffset: number;
  revision: number;
  services: ServiceView[];
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
  const hosts = fleet.data.listObjects('host').filter((host) => host.dataCentre === dataCentre);
  const services = fleet.data.listObjects('service').map((service) => ({
    nextOffset: fleet.nextOffset,
    service,
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
  return { nextOffset: fleet.nextOffset, revision: fleet.revision, services };
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
