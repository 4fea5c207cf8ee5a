import { ActorScope, type FaultHandler } from '../actor/mod.js';
import { ClaimKeeper, KeeperClaimPolicy } from '../claim/mod.js';
import { SystemClock } from '../clock/mod.js';
import { ControllerRecordSource } from '../controller/mod.js';
import { FleetFollower, FleetKeeper } from '../fleet/mod.js';
import { PeerForwarder, PeerLink } from '../link/mod.js';
import {
  ControllerAppender,
  SessionKeeper,
  SessionViewProjector,
  type Peer,
} from '../session/mod.js';
import type { GatewaySettings } from '../settings/mod.js';
import { GatewayListener } from './GatewayListener.js';
import { GatewayViewProjector } from './GatewayView.js';
import { KeeperPeerApi } from './KeeperPeerApi.js';
import { PeerPort } from './PeerPort.js';

/** Shares also grow with time alone, without a record that changes the state. */
const SHARE_INTERVAL_MS = 5_000;

/**
 * A gateway: follows a controller, keeps a session and serves callers.
 *
 * @example
 * ```ts
 * const gateway = new Gateway(settings, onFault);
 * const address = await gateway.open();
 * await gateway.close();
 * ```
 */
export class Gateway {
  readonly #settings: GatewaySettings;

  readonly #scope: ActorScope;

  readonly #clock = new SystemClock();

  readonly #keeper: FleetKeeper;

  readonly #follower: FleetFollower;

  readonly #claims: ClaimKeeper;

  readonly #forwarder: PeerForwarder;

  readonly #listener: GatewayListener;

  readonly #peerPort: PeerPort;

  #session: SessionKeeper | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor(settings: GatewaySettings, onFault: FaultHandler) {
    this.#settings = settings;
    this.#scope = new ActorScope('gateway', onFault);
    this.#keeper = new FleetKeeper(this.#scope);
    const sources = settings.controllers.map((address) => new ControllerRecordSource(address));
    this.#follower = new FleetFollower(this.#scope, this.#keeper, sources);
    this.#claims = new ClaimKeeper(this.#scope, {
      clock: this.#clock,
      openLink: (peer) => this.#openLink(peer),
      onView: (view) => this.#session?.send({ type: 'view', view }),
    });
    this.#forwarder = new PeerForwarder(this.#clock);
    this.#listener = new GatewayListener(this.#scope, this.#clock, {
      clock: this.#clock,
      policy: new KeeperClaimPolicy(this.#claims),
      forwarder: this.#forwarder,
      onLoad: (load) => this.#session?.send({ type: 'load', load }),
    });
    this.#peerPort = new PeerPort(this.#scope, {
      api: new KeeperPeerApi(this.#claims, () => this.#session),
      clock: this.#clock,
      onForwarded: (forwarded) => this.#listener.send({ type: 'forwarded', ...forwarded }),
    });
  }

  /** Opens the servers for callers and peers, and the session; returns the callers' address. */
  async open(): Promise<string> {
    const peerAddress = await this.#peerPort.open(this.#settings.peerAddress);
    const address = await this.#listener.open(this.#settings.address);
    this.#openSession(address, peerAddress);
    this.#follower.start();
    return address;
  }

  /** Ends the session and closes the servers and the links. */
  async close(): Promise<void> {
    clearInterval(this.#timer);
    this.#claims.send({ type: 'hold', isHeld: true });
    await this.#listener.close();
    await this.#session?.stop();
    this.#session?.close();
    this.#claims.close();
    await this.#forwarder.close();
    await this.#peerPort.close();
    await this.#follower.close();
    this.#keeper.close();
    this.#scope.close();
  }

  #openLink(peer: Peer): PeerLink {
    return new PeerLink(this.#scope, peer);
  }

  #openSession(address: string, peerAddress: string): void {
    const { dataCentre, controllers } = this.#settings;
    const views = new GatewayViewProjector({ dataCentre, clock: this.#clock }, (view) =>
      this.#listener.send({ type: 'view', view }),
    );
    const sessions = new SessionViewProjector(dataCentre, (view) =>
      this.#claims.send({ type: 'view', view }),
    );
    this.#session = new SessionKeeper(this.#scope, {
      dataCentre,
      address,
      peerAddress,
      clock: this.#clock,
      fleet: this.#keeper,
      appender: new ControllerAppender(controllers),
      openLink: (peer) => this.#openLink(peer),
      onSession: (session) => {
        sessions.setSession(session);
        views.setSession(session);
        [sessions, views].forEach((projector) => this.#keeper.send({ type: 'project', projector }));
      },
      onHold: (isHeld) => {
        this.#claims.send({ type: 'hold', isHeld });
        this.#listener.send({ type: 'hold', isHeld });
      },
    });
    this.#keeper.send({ type: 'subscribe', projector: views });
    this.#keeper.send({ type: 'subscribe', projector: sessions });
    this.#timer = setInterval(
      () => this.#keeper.send({ type: 'project', projector: views }),
      SHARE_INTERVAL_MS,
    );
  }
}
