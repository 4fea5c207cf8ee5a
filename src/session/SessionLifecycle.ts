import type { SessionState, VerdictResponse } from '../fleet/mod.js';
import type { RecordBody } from '../record/mod.js';
import type { DispatcherLoad } from './DispatcherLoad.js';
import { PauseDetector } from './PauseDetector.js';
import type { Peer, SessionView } from './SessionView.js';

export const HEARTBEAT_INTERVAL_MS = 700;
/** The session of a peer that has not answered for this long is ended. */
export const PEER_TIMEOUT_MS = 2_000;
/** Staggers the survivors by rank, so that usually only one of them ends the peer's session. */
const RANK_DELAY_MS = 250;
/** A session confirms again after this long without records, to learn the platform's time. */
const RENEWAL_INTERVAL_MS = 120_000;
const APPEND_RETRY_MS = 500;

/** An action that the session keeper must carry out. */
export type SessionAction =
  | { type: 'append'; body: RecordBody }
  | { type: 'heartbeat'; peers: Peer[] }
  | { type: 'refresh' }
  | { type: 'hold'; isHeld: boolean };

/** Options of a session life cycle. */
export interface SessionLifecycleOptions {
  dataCentre: string;
  address: string;
  peerAddress: string;
  createId: () => string;
  /** Monotonic time in milliseconds. */
  now: number;
}

/** Clock readings taken at the same time, in milliseconds. */
export interface ClockReading {
  monotonic: number;
  wall: number;
}

/** Decides, without I/O, which records a session writes and whether its gateway may send. */
export class SessionLifecycle {
  readonly #options: SessionLifecycleOptions;

  readonly #pauseDetector: PauseDetector;

  readonly #loads = new Map<string, DispatcherLoad>();

  readonly #lastAnswerAt = new Map<string, number>();

  /** Offset at which this gateway first saw each host draining. */
  readonly #drainSeenOffset = new Map<string, number>();

  #session: string;

  #wasOpen = false;

  #view: SessionView | undefined;

  #isAppending = false;

  #appendAfter = 0;

  /** Offset of the last record appended. The view must include it before the next is decided. */
  #appendedOffset = -1;

  #heartbeatAt = -Infinity;

  #isStopping = false;

  #isHeld = true;

  /** Offset that the view must reach after a pause; infinite until one has been reported. */
  #refreshOffset = 0;

  constructor(options: SessionLifecycleOptions) {
    this.#options = options;
    this.#session = options.createId();
    this.#pauseDetector = new PauseDetector(options.now);
  }

  /** Id of the session. It is set before the session's open record is in the log. */
  get session(): string {
    return this.#session;
  }

  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Whether a planned stop has ended the session. */
  get isEnded(): boolean {
    return this.#isStopping && this.#findOwn() === undefined;
  }

  /** Applies a newer view. Returns true if this session had ended and was replaced by a new one. */
  updateView(view: SessionView, now: number): boolean {
    if (view.nextOffset < (this.#view?.nextOffset ?? 0)) return false;
    this.#view = view;
    const members = new Set(view.members.map((peer) => peer.session));
    members.forEach((member) => {
      if (!this.#lastAnswerAt.has(member)) this.#lastAnswerAt.set(member, now);
    });
    [...this.#lastAnswerAt.keys()]
      .filter((member) => !members.has(member))
      .forEach((member) => this.#lastAnswerAt.delete(member));
    this.#updateDrainOffsets(view);
    const own = this.#findOwn();
    if (own !== undefined) this.#wasOpen = true;
    const isLost = own === undefined && this.#wasOpen && !this.#isStopping;
    if (isLost) this.#replaceSession();
    return isLost;
  }

  updateLoad(load: DispatcherLoad): void {
    this.#loads.set(load.service, load);
  }

  recordPeerAnswer(session: string, now: number): void {
    if (this.#lastAnswerAt.has(session)) this.#lastAnswerAt.set(session, now);
  }

  /**
   * Records the answer to an append, or undefined if it was lost. Returns true if the session was
   * replaced. After a lost answer the next record is delayed, because the view may yet show that
   * the lost append succeeded.
   */
  finishAppend(body: RecordBody, answer: VerdictResponse | undefined, now: number): boolean {
    this.#isAppending = false;
    if (answer === undefined) return false;
    this.#appendAfter = now;
    this.#appendedOffset = answer.offset;
    const isOwnOpen = body.type === 'session-open' && body.session === this.#session;
    if (answer.verdict.outcome !== 'rejected' || !isOwnOpen) return false;
    if (this.#findOwn() !== undefined) return false;
    this.#replaceSession();
    return true;
  }

  /** Sets the offset to reach after a pause, as reported by a controller or a peer. */
  setRefreshOffset(nextOffset: number): void {
    if (this.#refreshOffset === Infinity) this.#refreshOffset = nextOffset;
  }

  /** Starts a planned stop. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Decides which actions are due. */
  plan({ monotonic, wall }: ClockReading): SessionAction[] {
    const actions: SessionAction[] = [];
    if (this.#pauseDetector.recordTick(monotonic)) {
      this.#refreshOffset = Infinity;
      // A suspended process receives no answers, so the timeouts of its peers start again.
      this.#lastAnswerAt.forEach((_at, peer) => this.#lastAnswerAt.set(peer, monotonic));
    }
    if (this.#refreshOffset === Infinity) actions.push({ type: 'refresh' });
    const isHeld = this.#isHoldRequired();
    if (isHeld !== this.#isHeld) actions.push({ type: 'hold', isHeld });
    this.#isHeld = isHeld;
    if (monotonic - this.#heartbeatAt >= HEARTBEAT_INTERVAL_MS) {
      this.#heartbeatAt = monotonic;
      const peers = this.#listPeers();
      if (peers.length > 0) actions.push({ type: 'heartbeat', peers });
    }
    const body = this.#chooseRecord(monotonic, wall);
    if (body !== undefined) actions.push({ type: 'append', body });
    return actions;
  }

  #isHoldRequired(): boolean {
    const nextOffset = this.#view?.nextOffset ?? 0;
    return this.#isStopping || this.#findOwn() === undefined || nextOffset < this.#refreshOffset;
  }

  /** Finds this session in the view. A view that was read for an earlier session is ignored. */
  #findOwn(): SessionState | undefined {
    const own = this.#view?.own;
    return own?.session === this.#session ? own : undefined;
  }

  #replaceSession(): void {
    this.#session = this.#options.createId();
    this.#wasOpen = false;
    this.#isHeld = true;
  }

  #updateDrainOffsets(view: SessionView): void {
    const draining = new Set(view.draining);
    draining.forEach((host) => {
      if (!this.#drainSeenOffset.has(host)) this.#drainSeenOffset.set(host, view.nextOffset);
    });
    [...this.#drainSeenOffset.keys()]
      .filter((host) => !draining.has(host))
      .forEach((host) => this.#drainSeenOffset.delete(host));
  }

  #listPeers(): Peer[] {
    return (this.#view?.members ?? []).filter((peer) => peer.session !== this.#session);
  }

  #chooseRecord(monotonic: number, wall: number): RecordBody | undefined {
    if (this.#isAppending || monotonic < this.#appendAfter || this.#refreshOffset === Infinity) {
      return undefined;
    }
    if ((this.#view?.nextOffset ?? 0) <= this.#appendedOffset) return undefined;
    const body = this.#buildRecord(monotonic, wall);
    if (body === undefined) return undefined;
    this.#isAppending = true;
    this.#appendAfter = monotonic + APPEND_RETRY_MS;
    return body;
  }

  #buildRecord(monotonic: number, wall: number): RecordBody | undefined {
    const view = this.#view;
    const session = this.#session;
    const own = this.#findOwn();
    if (view === undefined || own === undefined)
      return this.#isStopping ? undefined : this.#buildOpenRecord();
    if (this.#isStopping) return { type: 'session-end', session, by: session };
    const deadPeer = this.#findDeadPeer(monotonic);
    if (deadPeer !== undefined) return { type: 'session-end', session: deadPeer, by: session };
    const offset = this.#findAppliedOffset(view);
    const isRenewal = wall - view.time > RENEWAL_INTERVAL_MS;
    if (offset !== undefined && offset >= view.viewNumber) {
      if (own.confirmedOffset < view.viewNumber || isRenewal) {
        return { type: 'session-confirm', session, offset };
      }
    }
    if (isRenewal) {
      return { type: 'session-confirm', session, offset: own.confirmedOffset };
    }
    return this.#buildDrainedRecord(view);
  }

  #buildOpenRecord(): RecordBody {
    const { dataCentre, address, peerAddress } = this.#options;
    const session = this.#session;
    return { type: 'session-open', session, role: 'gateway', dataCentre, address, peerAddress };
  }

  #findDeadPeer(now: number): string | undefined {
    const ids = (this.#view?.members ?? []).map((peer) => peer.session);
    const isDead = (id: string): boolean =>
      id !== this.#session && now - (this.#lastAnswerAt.get(id) ?? now) > PEER_TIMEOUT_MS;
    const rank = ids.filter((id) => !isDead(id)).indexOf(this.#session);
    const delay = PEER_TIMEOUT_MS + rank * RANK_DELAY_MS;
    return ids.find((id) => isDead(id) && now - (this.#lastAnswerAt.get(id) ?? now) > delay);
  }

  /** Latest offset that all dispatchers have applied; undefined while any is above its share. */
  #findAppliedOffset(view: SessionView): number | undefined {
    const loads = view.services.map((service) => this.#loads.get(service));
    if (loads.some((load) => load === undefined || load.isAboveShare)) return undefined;
    return Math.min(view.nextOffset, ...loads.map((load) => load?.nextOffset ?? 0)) - 1;
  }

  #buildDrainedRecord(view: SessionView): RecordBody | undefined {
    const loads = view.services.map((service) => this.#loads.get(service));
    const hosts = view.draining.filter((host) => {
      const seenOffset = this.#drainSeenOffset.get(host) ?? Infinity;
      return loads.every(
        (load) =>
          load !== undefined && load.nextOffset >= seenOffset && !load.leaving.includes(host),
      );
    });
    if (hosts.length === 0) return undefined;
    const offsets = loads.map((load) => load?.nextOffset ?? 0);
    const offset = Math.min(view.nextOffset, ...offsets);
    return { type: 'host-drained', session: this.#session, hosts, offset };
  }
}
