import type { z } from 'zod';
import { SystemClock } from '../clock/mod.js';
import { Controller } from '../controller/mod.js';
import { Gateway } from '../gateway/mod.js';
import { ProcessObserver } from '../observation/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { ControllerSettings, GatewaySettings, type FleetDocument } from '../settings/mod.js';
import { PlatformStandin, UpstreamStandin } from '../standin/mod.js';
import type { FleetEvent } from '../timeline/mod.js';

const FREE_PORT = '127.0.0.1:0';
/** No load balancer probes the gateways of the demo, so they stop without notice. */
const STOP_NOTICE_MS = 0;
const DATA_CENTRES = ['rennes-1', 'brest-1'] as const;
const HOSTS_PER_DATA_CENTRE = 4;
const HOSTS_PER_RACK = 2;

interface DemoHost {
  name: string;
  dataCentre: string;
  rack: string;
  address: string;
  upstream: UpstreamStandin;
}

/** Addresses of the daemons of one data centre. */
export interface DemoSite {
  dataCentre: string;
  controller: string;
  gateway: string;
}

interface Closable {
  close(): Promise<void> | void;
}

/**
 * A small fleet in one process: the platform stand-in, eight upstream stand-ins in two data centres,
 * and a controller and a gateway in each data centre, all on free loopback ports.
 *
 * @example
 * ```ts
 * const fleet = new DemoFleet();
 * await fleet.open();
 * fleet.sites[0]?.gateway; // for example '127.0.0.1:40121'
 * await fleet.close();
 * ```
 */
export class DemoFleet {
  readonly #platform = new PlatformStandin();

  readonly #hosts: DemoHost[] = [];

  readonly #sites: DemoSite[] = [];

  readonly #observers: ProcessObserver[] = [];

  readonly #faults: string[] = [];

  readonly #stoppedHosts = new Set<string>();

  /** Opened resources, in the order of opening. */
  readonly #closables: Closable[] = [];

  get hosts(): readonly Omit<DemoHost, 'upstream'>[] {
    return this.#hosts;
  }

  get sites(): readonly DemoSite[] {
    return this.#sites;
  }

  /** Errors of message handlers. Any entry makes the demo fail. */
  get faults(): readonly string[] {
    return this.#faults;
  }

  /** Opens the stand-ins and the daemons. */
  async open(): Promise<void> {
    this.#closables.push(this.#platform);
    const platform = `http://${await this.#platform.open()}`;
    for (let index = 1; index <= HOSTS_PER_DATA_CENTRE; index += 1) {
      for (const dataCentre of DATA_CENTRES) await this.#openHost(dataCentre, index);
    }
    this.#platform.setHosts(this.#hosts.map(({ name }) => ({ host: name, state: 'live' })));
    for (const dataCentre of DATA_CENTRES) await this.#openSite(dataCentre, platform);
  }

  /** Builds a document with the inventory, the given pools and the service `match`. */
  buildDocument(pools: readonly z.input<typeof Pool>[]): FleetDocument {
    return {
      dataCentres: DATA_CENTRES.map((name) => ({ name, region: 'brittany' })),
      hosts: this.#hosts.map(({ name, dataCentre, rack, address }) => ({
        name,
        dataCentre,
        address,
        rack,
        resources: { cores: 64, memoryGb: 128, accelerators: 0 },
      })),
      pools: pools.map((pool) => Pool.parse(pool)),
      services: [
        Service.parse({
          name: 'match',
          pathPrefix: '/match',
          pool: 'match',
          jobTimeoutMs: 2_000,
        }),
      ],
    };
  }

  /** Lists the hosts in the current host list of the platform. */
  listPlatformHosts(): string[] {
    return this.#platform.listHosts().map(({ host }) => host);
  }

  /**
   * Stops the upstreams of hosts for good: no reboot restores them. The platform's host list lags
   * behind and still contains them.
   */
  async stopUpstreams(names: readonly string[]): Promise<void> {
    const stopped = this.#hosts.filter(({ name }) => names.includes(name));
    await Promise.all(stopped.map(({ upstream }) => upstream.close()));
    stopped.forEach(({ name }) => this.#stoppedHosts.add(name));
    this.#platform.setFaults({ lostHosts: [...this.#stoppedHosts] });
  }

  /** Lists the timeline events of each process. */
  listTimelines(): FleetEvent[][] {
    return this.#observers.map((observer) => observer.timeline.list());
  }

  /** Closes all resources in reverse order of opening. */
  async close(): Promise<void> {
    for (const one of this.#closables.splice(0).reverse()) await one.close();
  }

  async #openHost(dataCentre: string, index: number): Promise<void> {
    const name = `${dataCentre}-h${index}`;
    const upstream = new UpstreamStandin(name);
    const address = await upstream.open();
    const rack = `r${Math.ceil(index / HOSTS_PER_RACK)}`;
    this.#closables.push(upstream);
    this.#hosts.push({ name, dataCentre, rack, address, upstream });
  }

  async #openSite(dataCentre: string, platform: string): Promise<void> {
    const peers = this.#sites.map((site) => site.controller);
    const controllerSettings = { role: 'controller', dataCentre, address: FREE_PORT, platform };
    const controllerDaemon = new Controller(
      ControllerSettings.parse({ ...controllerSettings, peers }),
      this.#recordFault,
      this.#openObserver(`controller ${dataCentre}`),
    );
    this.#closables.push(controllerDaemon);
    const controller = await controllerDaemon.open();
    const gatewaySettings = {
      role: 'gateway',
      dataCentre,
      address: FREE_PORT,
      stopNoticeMs: STOP_NOTICE_MS,
    };
    const gatewayDaemon = new Gateway(
      GatewaySettings.parse({
        ...gatewaySettings,
        peerAddress: FREE_PORT,
        controllers: [controller, ...peers],
      }),
      this.#recordFault,
      this.#openObserver(`gateway ${dataCentre}`),
    );
    this.#closables.push(gatewayDaemon);
    this.#sites.push({ dataCentre, controller, gateway: await gatewayDaemon.open() });
  }

  readonly #recordFault = (actor: string, error: Error): void => {
    this.#faults.push(`${actor}: ${error.message}`);
  };

  #openObserver(name: string): ProcessObserver {
    const observer = new ProcessObserver(name, { clock: new SystemClock() });
    this.#closables.push(observer);
    this.#observers.push(observer);
    return observer;
  }
}
