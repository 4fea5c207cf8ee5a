import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetReplica, VerdictResponse } from '../fleet/mod.js';
import type { PeerLink } from '../link/PeerLink.js';
import type { RecordBody } from '../record/mod.js';
import type { DispatcherLoad } from './DispatcherLoad.js';
import type { Heartbeat } from './Heartbeat.js';
import type { RecordAppender } from './RecordAppender.js';
import { SessionLifecycle, type SessionAction } from './SessionLifecycle.js';
import type { Peer, SessionView } from './SessionView.js';

const TICK_INTERVAL_MS = 100;
/** How long a planned stop waits for its record. If it is lost, the peers end the session. */
const STOP_TIMEOUT_MS = 3_000;

/** Messages that the keeper receives. */
export type SessionKeeperMessage =
  | { type: 'tick' }
  /** A view that the claim keeper has already applied. */
  | { type: 'view'; view: SessionView }
  | { type: 'load'; load: DispatcherLoad }
  | { type: 'appended'; body: RecordBody; answer: VerdictResponse | undefined }
  | { type: 'heartbeat'; peer: Peer; answer: Heartbeat | undefined }
  | { type: 'refreshed'; nextOffset: number | undefined }
  | { type: 'ask-heartbeat'; reply: (answer: Heartbeat) => void }
  | { type: 'stop'; reply: (isEnded: boolean) => void };

/** Options of the keeper. */
export interface SessionKeeperOptions {
  dataCentre: string;
  address: string;
  peerAddress: string;
  clock: Clock;
  fleet: FleetReplica;
  appender: RecordAppender;
  createId: () => string;
  openLink: (peer: Peer) => PeerLink;
  /** Called when the gateway gets a new session id, before its record is written. */
  onSession: (session: string) => void;
  /** Called when all sends must be held back, and when they may resume. */
  onHold: (isHeld: boolean) => void;
}

/** Owns the session of a gateway: its records, its heartbeats and whether sends are held. */
export class SessionKeeper extends Actor<SessionKeeperMessage> {
  readonly #options: SessionKeeperOptions;

  readonly #lifecycle: SessionLifecycle;

  readonly #links = new Map<string, PeerLink>();

  readonly #timer: NodeJS.Timeout;

  #view: SessionView | undefined;

  #isRefreshing = false;

  #stopReply: ((isEnded: boolean) => void) | undefined;

  constructor(scope: ActorScope, options: SessionKeeperOptions) {
    super(scope, 'session-keeper');
    this.#options = options;
    const { dataCentre, address, peerAddress, clock } = options;
    const now = clock.readMonotonic();
    this.#lifecycle = new SessionLifecycle({
      dataCentre,
      address,
      peerAddress,
      now,
      createId: options.createId,
    });
    options.onSession(this.#lifecycle.session);
    this.#timer = setInterval(() => this.send({ type: 'tick' }), TICK_INTERVAL_MS);
  }

  /** Ends the session for a planned stop; false if the end record could not be written in time. */
  stop(): Promise<boolean> {
    return this.ask<boolean>((reply) => ({ type: 'stop', reply }), STOP_TIMEOUT_MS).catch(
      () => false,
    );
  }

  protected override receive(message: SessionKeeperMessage): void {
    const now = this.#options.clock.readMonotonic();
    switch (message.type) {
      case 'view':
        this.#view = message.view;
        if (this.#lifecycle.updateView(message.view, now)) this.#publishSession();
        this.#closeStaleLinks();
        break;
      case 'load':
        this.#lifecycle.updateLoad(message.load);
        break;
      case 'appended':
        if (this.#lifecycle.finishAppend(message.body, message.answer, now)) {
          this.#publishSession();
        }
        break;
      case 'heartbeat':
        if (message.answer?.session === message.peer.session) {
          this.#lifecycle.recordPeerAnswer(message.peer.session, now);
        }
        break;
      case 'refreshed':
        this.#isRefreshing = false;
        if (message.nextOffset !== undefined) this.#lifecycle.setRefreshOffset(message.nextOffset);
        break;
      case 'ask-heartbeat': {
        const { session } = this.#lifecycle;
        message.reply({ session, nextOffset: this.#view?.nextOffset ?? 0 });
        return;
      }
      case 'stop':
        this.#stopReply = message.reply;
        this.#lifecycle.stop();
        break;
      default:
    }
    this.#runActions(now);
  }

  override close(): void {
    clearInterval(this.#timer);
    this.#links.forEach((link) => link.close());
    super.close();
  }

  #runActions(now: number): void {
    const reading = { monotonic: now, wall: this.#options.clock.readWall() };
    this.#lifecycle.plan(reading).forEach((action) => this.#runAction(action));
    if (this.#stopReply === undefined || !this.#lifecycle.isEnded) return;
    this.#stopReply(true);
    this.#stopReply = undefined;
  }

  #runAction(action: SessionAction): void {
    switch (action.type) {
      case 'append':
        this.#append(action.body);
        break;
      case 'heartbeat':
        action.peers.forEach((peer) => this.#sendHeartbeat(peer));
        break;
      case 'hold':
        this.#options.onHold(action.isHeld);
        break;
      default:
        this.#fetchState();
    }
  }

  #publishSession(): void {
    this.#options.onHold(true);
    this.#options.onSession(this.#lifecycle.session);
  }

  #append(body: RecordBody): void {
    this.#options.appender.append(body).then(
      (answer) => this.send({ type: 'appended', body, answer }),
      // The record may be in the log all the same; the next decision is made from the state.
      () => this.send({ type: 'appended', body, answer: undefined }),
    );
  }

  #sendHeartbeat(peer: Peer): void {
    let link = this.#links.get(peer.session);
    if (link === undefined) {
      link = this.#options.openLink(peer);
      this.#links.set(peer.session, link);
    }
    const reply = (answer: Heartbeat | undefined): void =>
      this.send({ type: 'heartbeat', peer, answer });
    link.send({ type: 'heartbeat', reply });
  }

  #closeStaleLinks(): void {
    const members = new Set(this.#view?.members.map((peer) => peer.session));
    this.#links.forEach((link, session) => {
      if (members.has(session)) return;
      this.#links.delete(session);
      link.close();
    });
  }

  /** Fetches the records up to the end of the log, or else asks a peer for its offset. */
  #fetchState(): void {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    const { appender, fleet } = this.#options;
    appender.readRecords(this.#view?.nextOffset ?? 0).then(
      (batch) => {
        fleet.send({ type: 'records', batch });
        this.send({ type: 'refreshed', nextOffset: batch.nextOffset });
      },
      () => this.#askPeerForOffset(),
    );
  }

  #askPeerForOffset(): void {
    const [link] = [...this.#links.values()];
    const reply = (answer: Heartbeat | undefined): void =>
      this.send({ type: 'refreshed', nextOffset: answer?.nextOffset });
    if (link) link.send({ type: 'heartbeat', reply });
    else reply(undefined);
  }
}
