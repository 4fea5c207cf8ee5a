import { ActorScope } from '../actor/mod.js';
import { FairPolicy } from '../admission/mod.js';
import { GrantAllClaimPolicy } from '../claim/mod.js';
import { SystemClock } from '../clock/mod.js';
import { GatewayListener, type GatewayListenerOptions } from '../gateway/GatewayListener.js';
import type { GatewayParts } from '../gateway/GatewayParts.js';
import type { ServiceView } from '../gateway/GatewayView.js';
import { UnavailableForwarder, type UpstreamHost } from '../link/mod.js';
import { Metrics } from '../metrics/mod.js';
import { Service } from '../service/mod.js';
import type { DispatcherLoad } from '../session/mod.js';
import { UpstreamStandin } from '../standin/mod.js';
import { Timeline } from '../timeline/mod.js';

/** Options of a test rig. */
export interface GatewayRigOptions {
  upstreams?: number;
  slots?: number;
  parts?: Partial<GatewayParts>;
  listener?: GatewayListenerOptions;
  service?: Partial<Service>;
}

/** Test rig of a gateway listener and upstream stand-ins that use real sockets in one process. */
export class GatewayRig {
  readonly upstreams: UpstreamStandin[];

  readonly parts: GatewayParts;

  readonly listener: GatewayListener;

  readonly timeline: Timeline;

  readonly metrics = new Metrics();

  readonly faults: Error[] = [];

  /** Load reports of the dispatchers. */
  readonly loads: DispatcherLoad[] = [];

  readonly service: Service;

  hosts: UpstreamHost[] = [];

  address = '';

  readonly #slots: number;

  #nextOffset = 0;

  readonly #scope: ActorScope;

  constructor(options: GatewayRigOptions = {}) {
    const clock = new SystemClock();
    const names = Array.from({ length: options.upstreams ?? 2 }, (_, index) => `h${index}`);
    this.upstreams = names.map((name) => new UpstreamStandin(name));
    this.#slots = options.slots ?? 8;
    const service = { name: 'match', pathPrefix: '/match', pool: 'match', ...options.service };
    this.service = Service.parse(service);
    this.timeline = new Timeline('rig', { clock });
    const onFault = (_: string, error: Error): unknown => this.faults.push(error);
    const { timeline, metrics } = this;
    this.#scope = new ActorScope('rig', onFault, { timeline, metrics });
    this.parts = {
      clock,
      claims: new GrantAllClaimPolicy(),
      forwarder: new UnavailableForwarder(),
      createPolicy: () => new FairPolicy(),
      onLoad: (load) => this.loads.push(load),
      ...options.parts,
    };
    this.listener = new GatewayListener(this.#scope, this.parts, options.listener);
  }

  /** Opens the upstreams and the listener and sends the first view; `url` is valid from then on. */
  async open(): Promise<void> {
    const addresses = await Promise.all(this.upstreams.map((upstream) => upstream.open()));
    this.address = await this.listener.open('127.0.0.1:0');
    this.hosts = addresses.map((address, index) => ({
      host: `h${index}`,
      address,
      slots: this.#slots,
      connections: 64,
    }));
    this.updateView();
  }

  get url(): string {
    return `http://${this.address}/match`;
  }

  /** Sums the runs of all upstream hosts. */
  countRuns(): number {
    return this.upstreams.reduce((sum, { counts }) => sum + counts.runs, 0);
  }

  /** Sends a view with the current hosts to the listener. */
  updateView(part: Partial<ServiceView> = {}): void {
    this.#nextOffset += 1;
    const nextOffset = this.#nextOffset;
    const services = [{ service: this.service, hosts: this.hosts, nextOffset, ...part }];
    const view = {
      nextOffset,
      revision: 1,
      hasOwnSession: true,
      services,
      quotas: new Map<string, number>(),
    };
    this.listener.send({ type: 'view', view });
  }

  /** Changes every host of the view, or removes all hosts if there is no argument. */
  setHosts(part?: Partial<UpstreamHost>): void {
    this.hosts = part ? this.hosts.map((host) => ({ ...host, ...part })) : [];
    this.updateView();
  }

  /** Closes the listener and the upstreams. */
  async close(): Promise<void> {
    await this.listener.close();
    await Promise.all(this.upstreams.map((upstream) => upstream.close()));
    this.#scope.close();
  }
}
