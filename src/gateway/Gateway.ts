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
import { buildUnusableProblem } from './_problems.js';
import { createSessionIds } from './_createSessionIds.js';
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

  #timer: NodeJS.Timeout | undefined;

  #peerAddress = '';

  /** Whether the session is about to end, so that no job is taken any more. */
  #isEnding = false;

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
      answerOwn: (request, response) => observer?.answer(request, response) ?? false,
      onForwarded: (exchange) => this.#takeForwarded(exchange),
    });
    observer?.setStatusReader(() => api.readStatus());
  }

  /** Where other processes reach it; empty before it is open. */
  get peerAddress(): string {
    return this.#peerAddress;
  }

  /** Opens the servers for callers and peers, and the session; returns the callers' address. */
  async open(): Promise<string> {
    this.#peerAddress = await this.#peerPort.open(this.#settings.peerAddress);
    const address = await this.#listener.open(this.#settings.address);
    this.#openSession(address);
    this.#follower.start();
    return address;
  }

  /** Stops gracefully: no request in flight is cut off within the stop bound. */
  close(): Promise<void> {
    this.#closed ??= this.#stop();
    return this.#closed;
  }

  /** Drains the jobs while the session lasts, since its end gives its slots to others. */
  async #stop(): Promise<void> {
    await this.#listener.stop(this.#settings.stopNoticeMs);
    clearInterval(this.#timer);
    this.#isEnding = true;
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

  #takeForwarded(exchange: Exchange): void {
    if (this.#isEnding) exchange.sendProblem(buildUnusableProblem('the gateway stops'));
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
    this.#timer = setInterval(
      () => this.#replica.send({ type: 'project', projector: views }),
      SHARE_INTERVAL_MS,
    );
  }
}
