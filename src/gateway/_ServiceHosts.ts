import type { ActorScope } from '../actor/mod.js';
import { HostLink, HostRotation, type UpstreamHost } from '../link/mod.js';
import type { DispatcherLoad } from '../session/mod.js';
import type { ServiceView } from './GatewayView.js';

interface HostLinkEntry {
  address: string;
  connections: number;
  link: HostLink;
}

/** The upstream hosts of a service, with their rotation, links and work in flight. */
export class ServiceHosts {
  readonly rotation = new HostRotation();

  readonly #scope: ActorScope;

  readonly #links = new Map<string, HostLinkEntry>();

  /** The last reported load. Only a load that differs is reported. */
  #lastLoad: DispatcherLoad | undefined;

  constructor(scope: ActorScope) {
    this.#scope = scope;
  }

  /** Updates the hosts from a view. The link to a removed host closes after its last run. */
  update(hosts: UpstreamHost[]): void {
    this.rotation.setHosts(hosts);
    const addresses = new Map(hosts.map(({ host, address }) => [host, address]));
    this.#links.forEach(({ address, link }, host) => {
      if (addresses.get(host) === address) return;
      this.#links.delete(host);
      link.send({ type: 'retire' });
    });
    hosts.forEach(({ host, address, connections }) => {
      const entry = this.#links.get(host);
      if (entry?.connections === connections) return;
      if (entry) entry.link.send({ type: 'share', connections });
      const link = entry?.link ?? new HostLink(this.#scope, host, { address, connections });
      this.#links.set(host, { address, link, connections });
    });
  }

  findLink(host: string): HostLink | undefined {
    return this.#links.get(host)?.link;
  }

  /**
   * Reads the load on which confirmations and drains depend. Returns `undefined` if it is the same
   * as the last reported one. Between two views, the work above the shares and on unlisted hosts
   * can only decrease, so nothing is computed once there is none.
   */
  readLoad({ service, nextOffset }: ServiceView): DispatcherLoad | undefined {
    const last = this.#lastLoad;
    if (last?.nextOffset === nextOffset && last.leaving.length === 0 && !last.isAboveShare) {
      return undefined;
    }
    const { leaving, isAboveShare } = this.rotation.readLoad();
    const isSame =
      last?.nextOffset === nextOffset &&
      last.isAboveShare === isAboveShare &&
      last.leaving.length === leaving.length;
    if (isSame) return undefined;
    this.#lastLoad = { service: service.name, nextOffset, leaving, isAboveShare };
    return this.#lastLoad;
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map(({ link }) => link.close()));
  }
}
