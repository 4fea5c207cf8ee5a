import type { ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { Peer } from '../session/mod.js';
import type { Exchange } from './Exchange.js';
import { ForwardLink } from './ForwardLink.js';
import { JobForwarder, type ForwardResult, type ForwardTarget } from './JobForwarder.js';

/** Maximum number of gateways in other data centres to try until one can be reached. */
const MAX_REMOTE_ATTEMPTS = 3;

/** The gateways that a forwarder can send to. */
export interface ForwarderView {
  /** The data centre of the forwarding gateway. */
  dataCentre: string;
  /** Gateways of every data centre. */
  gateways: Readonly<Record<string, Peer[]>>;
}

/** Forwards jobs over HTTP to the peer ports of other gateways. */
export class PeerForwarder extends JobForwarder {
  readonly #scope: ActorScope;

  readonly #clock: Clock;

  readonly #links = new Map<string, ForwardLink>();

  #remoteAddresses: string[] = [];

  #cursor = 0;

  constructor(scope: ActorScope, clock: Clock) {
    super();
    this.#scope = scope;
    this.#clock = clock;
  }

  /** Sets the known gateways and closes the links to all others. */
  updateView({ dataCentre, gateways }: ForwarderView): void {
    const all = Object.values(gateways).flat();
    const knownAddresses = new Set(all.map((peer) => peer.peerAddress));
    this.#links.forEach((link, address) => {
      if (knownAddresses.has(address)) return;
      this.#links.delete(address);
      link.close().catch((error: Error) => this.#scope.reportError(link.name, error));
    });
    // Alternates between the data centres, so that an unreachable one costs a single attempt.
    const lists = Object.keys(gateways)
      .filter((name) => name !== dataCentre)
      .sort()
      .map((name) => gateways[name] ?? []);
    const longest = Math.max(0, ...lists.map((list) => list.length));
    this.#remoteAddresses = Array.from({ length: longest }, (_, index) =>
      lists.flatMap((list) => list[index]?.peerAddress ?? []),
    ).flat();
  }

  override async forward(exchange: Exchange, target: ForwardTarget): Promise<ForwardResult> {
    if (target.kind === 'peer') return this.#send(exchange, target.peerAddress);
    const count = Math.min(MAX_REMOTE_ATTEMPTS, this.#remoteAddresses.length);
    this.#cursor += 1;
    const from = this.#cursor;
    const addresses = Array.from(
      { length: count },
      (_, index) => this.#remoteAddresses[(from + index) % this.#remoteAddresses.length] as string,
    );
    let result: ForwardResult = { answered: false, sent: false, outcome: 'not-run' };
    for (const address of addresses) {
      result = await this.#send(exchange, address);
      if (result.sent || exchange.isAbandoned) break;
    }
    return result;
  }

  override async close(): Promise<void> {
    await Promise.all([...this.#links.values()].map((link) => link.close()));
  }

  #send(exchange: Exchange, address: string): Promise<ForwardResult> {
    let link = this.#links.get(address);
    if (link === undefined) {
      link = new ForwardLink(this.#scope, address, this.#clock);
      this.#links.set(address, link);
    }
    const target = link;
    return new Promise((reply) => {
      target.send({ type: 'run', exchange, reply });
    });
  }
}
