import { ActorScope, type ErrorHandler } from '../actor/mod.js';
import { FairPolicy, FifoPolicy } from '../admission/mod.js';
import { ClaimKeeper, KeeperClaimPolicy } from '../claim/mod.js';
import { SystemClock } from '../clock/mod.js';
import { ControllerRecordSource } from '../controller/mod.js';
import {
  FleetFollower,
  FleetReplica,
  readProcessStatus,
  type ProcessStatus,
} from '../fleet/mod.js';
import { PeerForwarder, PeerLink, type Exchange } from '../link/mod.js';
import type { ProcessObserver } from '../observation/mod.js';
import { ControllerAppender, SessionKeeper, SessionViewProjector } from '../session/mod.js';
import type { GatewaySettings } from '../settings/mod.js';
import { buildUnavailableProblem } from './_problems.js';
import { createSessionIds } from './_createSessionIds.js';
import { GatewayListener } from './GatewayListener.js';
import { GatewayViewProjector } from './GatewayView.js';
import { KeeperPeerApi } from './KeeperPeerApi.js';
import { PeerPort } from './PeerPort.js';

/** Shares are recomputed periodically, since they grow with time even without new records. */
const SHARE_REFRESH_INTERVAL_MS = 5_000;

/**
 * A gateway, which follows a controller, maintains a session and serves callers.
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

  readonly #observer: ProcessObserver | undefined;

  readonly #scope: ActorScope;

  readonly #clock = new SystemClock();

  readonly #replica: FleetReplica;

  readonly #follower: FleetFollower;

  readonly #claims: ClaimKeeper;

  readonly #forwarder: PeerForwarder;

  readonly #listener: GatewayListener;

  readonly #peerPort: PeerPort;

  #session: SessionKeeper | undefined;

  #shareTimer: NodeJS.Timeout | undefined;

  #peerAddress = '';

  /** Whether the session is about to end, in which case forwarded jobs are rejected. */
  #isSessionEnding = false;

  #closed: Promise<void> | undefined;

  constructor(settings: GatewaySettings, onFault: ErrorHandler, observer?: ProcessObserver) {
    this.#settings = settings;
    this.#observer = observer;
    this.#scope = new ActorScope('gateway', onFault, observer);
    this.#replica = new FleetReplica(this.#scope);
    const sources = settings.controllers.map((address) => new ControllerRecordSource(address));
    this.#follower = new FleetFollower(this.#scope, this.#replica, sources);
    const clock = this.#clock;
    this.#claims = new ClaimKeeper(this.#scope, {
      clock,
      openLink: (peer) => new PeerLink(this.#scope, peer),
      onView: (view) => this.#session?.send({ type: 'view', view }),
    });
    this.#forwarder = new PeerForwarder(this.#scope, clock);
    this.#listener = new GatewayListener(this.#scope, {
      clock,
      claims: new KeeperClaimPolicy(this.#claims),
      forwarder: this.#forwarder,
      createPolicy: () => (settings.admission === 'fifo' ? new FifoPolicy() : new FairPolicy()),
      onLoad: (load) => this.#session?.send({ type: 'load', load }),
    });
    this.#listener.send({ type: 'hold', isHeld: true });
    const api = new KeeperPeerApi({
      claims: this.#claims,
      findSession: () => this.#session,
      readStatus: (session, revision) => this.#readStatus(session, revision),
    });
    this.#peerPort = new PeerPort(this.#scope, {
      api,
      clock,
      answerObservation: (request, response) => observer?.answer(request, response) ?? false,
      onForwarded: (exchange) => this.#acceptForwarded(exchange),
    });
    observer?.setStatusReader(() => api.readStatus());
  }

  /** Address at which other processes reach the gateway. Empty until it is open. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  /** Opens the servers for callers and peers and the session. Returns the address for callers. */
  async open(): Promise<string> {
    this.#peerAddress = await this.#peerPort.open(this.#settings.peerAddress);
    const address = await this.#listener.open(this.#settings.address);
    this.#openSession(address);
    this.#follower.start();
    return address;
  }

  /** Stops gracefully: requests in flight are completed unless they exceed the drain deadline. */
  close(): Promise<void> {
    this.#closed ??= this.#stop();
    return this.#closed;
  }

  /** Drains the jobs before ending the session, since its slots go to other gateways at the end. */
  async #stop(): Promise<void> {
    await this.#listener.stop(this.#settings.stopNoticeMs);
    clearInterval(this.#shareTimer);
    this.#isSessionEnding = true;
    this.#claims.send({ type: 'hold', isHeld: true });
    await this.#listener.close();
    await this.#session?.stop();
    this.#session?.close();
    this.#claims.close();
    await this.#forwarder.close();
    await this.#peerPort.close();
    await this.#follower.close();
    this.#replica.close();
    this.#scope.close();
  }

  #acceptForwarded(exchange: Exchange): void {
    if (this.#isSessionEnding) exchange.sendProblem(buildUnavailableProblem('the gateway stops'));
    else this.#listener.send({ type: 'submit', exchange });
  }

  #readStatus(session: string, revision?: number): Promise<ProcessStatus> {
    const { role, dataCentre } = this.#settings;
    const [replica, follower] = [this.#replica, this.#follower];
    return readProcessStatus({ replica, follower, session, role, dataCentre }, revision);
  }

  #openSession(address: string): void {
    const { dataCentre, controllers } = this.#settings;
    const views = new GatewayViewProjector({ dataCentre, clock: this.#clock }, (view) =>
      this.#listener.send({ type: 'view', view }),
    );
    const sessions = new SessionViewProjector(dataCentre, (view) => {
      this.#forwarder.updateView(view);
      this.#claims.send({ type: 'view', view });
    });
    this.#session = new SessionKeeper(this.#scope, {
      dataCentre,
      address,
      peerAddress: this.#peerAddress,
      clock: this.#clock,
      fleet: this.#replica,
      appender: new ControllerAppender(controllers),
      createId: createSessionIds(this.#observer?.process),
      openLink: (peer) => new PeerLink(this.#scope, peer),
      onSession: (session) => {
        sessions.setSession(session);
        views.setSession(session);
        [views, sessions].forEach((projector) =>
          this.#replica.send({ type: 'project', projector }),
        );
      },
      onHold: (isHeld) => {
        this.#claims.send({ type: 'hold', isHeld });
        this.#listener.send({ type: 'hold', isHeld });
      },
    });
    this.#replica.send({ type: 'subscribe', projector: views });
    this.#replica.send({ type: 'subscribe', projector: sessions });
    this.#shareTimer = setInterval(
      () => this.#replica.send({ type: 'project', projector: views }),
      SHARE_REFRESH_INTERVAL_MS,
    );
  }
}
