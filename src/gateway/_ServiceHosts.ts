import type { ActorScope } from '../actor/mod.js';
import { HostLink, HostRotation, type UpstreamHost } from '../link/mod.js';
import type { DispatcherLoad } from '../session/mod.js';
import type { ServiceView } from './GatewayView.js';

interface LinkEntry {
  address: string;
  connections: number;
  link: HostLink;
}

/** The upstream hosts of one service: their rotation, their links and the work in flight. */
export class ServiceHosts {
  readonly rotation = new HostRotation();

  readonly #scope: ActorScope;

  readonly #links = new Map<string, LinkEntry>();

  /** The last report; only one that differs is made. */
  #load: DispatcherLoad | undefined;

  constructor(scope: ActorScope) {
    this.#scope = scope;
  }

  /** Takes over the hosts of a view. A link to a host that is gone ends with its last run. */
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
   * Reads what confirmations and drains depend on; undefined if nothing differs from the last time.
   * Between two views the work above the shares and on unlisted hosts only gets less, so that there
   * is nothing to compute once it is gone.
   */
  readLoad({ service, nextOffset }: ServiceView): DispatcherLoad | undefined {
    const last = this.#load;
    if (last?.nextOffset === nextOffset && last.leaving.length === 0 && !last.isAboveShare) {
      return undefined;
    }
    const { leaving, isAboveShare } = this.rotation.readLoad();
    const isSame =
      last?.nextOffset === nextOffset &&
      last.isAboveShare === isAboveShare &&
      last.leaving.length === leaving.length;
    if (isSame) return undefined;
    this.#load = { service: service.name, nextOffset, leaving, isAboveShare };
    return this.#load;
  }

  async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map(({ link }) => link.close()));
  }
}
