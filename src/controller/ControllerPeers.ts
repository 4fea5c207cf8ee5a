import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetKeeper, SessionState } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { computeRank } from './computeRank.js';
import { createControllerClient } from './ControllerClient.js';
import { SessionsProjector } from './_SessionsProjector.js';

/** A probe costs about 1 KB at each end. Proposals of a lost rank 0 wait only for the rank delay. */
const PROBE_INTERVAL_MS = 4_000;
const PROBE_TIMEOUT_MS = 1_000;
/** Two missed probes and a margin. */
const ALIVE_MS = 9_500;
/**
 * Rank 0 ends the session of a controller that missed this many probes in a row, about a minute.
 * Probes are counted instead of time, since a thawed controller, or one that has just become the
 * first, has not probed the others for long.
 */
const LOST_PROBES = 15;
/** An opening of the own session that did not come back from the log is proposed again. */
const OPEN_RETRY_MS = 10_000;

type PeersMessage =
  | { type: 'tick' }
  | { type: 'sessions'; sessions: SessionState[] }
  /** `found` is the session that answered; undefined when none did. */
  | { type: 'probed'; session: string; found: string | undefined };

/** Options of the peers of a controller. */
export interface ControllerPeersOptions {
  keeper: FleetKeeper;
  writer: LogWriter;
  clock: Clock;
  /** The own session. */
  session: string;
  dataCentre: string;
  address: string;
  /** Called with the own rank at each tick. */
  onRank: (rank: number) => void;
}

/** Opens the own session, probes the other controllers and computes the own rank. */
export class ControllerPeers extends Actor<PeersMessage> {
  readonly #options: ControllerPeersOptions;

  readonly #timer: NodeJS.Timeout;

  #sessions: SessionState[] = [];

  /** When each session was last reached, in monotonic milliseconds. */
  readonly #reachedAt = new Map<string, number>();

  /** Probes missed in a row. */
  readonly #missed = new Map<string, number>();

  readonly #replaced = new Set<string>();

  #proposedAt = Number.NEGATIVE_INFINITY;

  constructor(scope: ActorScope, options: ControllerPeersOptions) {
    super(scope, 'controller-peers');
    this.#options = options;
    const projector = new SessionsProjector((sessions) =>
      this.send({ type: 'sessions', sessions }),
    );
    options.keeper.send({ type: 'subscribe', projector });
    this.#timer = setInterval(() => this.send({ type: 'tick' }), PROBE_INTERVAL_MS);
    this.send({ type: 'tick' });
  }

  protected override receive(message: PeersMessage): void {
    const now = this.#options.clock.readMonotonic();
    if (message.type === 'sessions') {
      this.#sessions = message.sessions;
      // A session that is new to this process gets the time of a first probe.
      message.sessions.forEach(({ session }) => {
        if (!this.#reachedAt.has(session)) this.#reachedAt.set(session, now);
      });
      [...this.#reachedAt.keys()].forEach((session) => {
        if (!message.sessions.some((one) => one.session === session)) {
          this.#reachedAt.delete(session);
          this.#replaced.delete(session);
          this.#missed.delete(session);
        }
      });
    } else if (message.type === 'probed') {
      this.#acceptProbe(message, now);
    } else this.#checkSessions(now);
    this.#options.onRank(this.#computeRank(now));
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  #acceptProbe(
    { session, found }: { session: string; found: string | undefined },
    now: number,
  ): void {
    if (found === undefined) this.#missed.set(session, (this.#missed.get(session) ?? 0) + 1);
    else if (found !== session) this.#replaced.add(session);
    else {
      this.#reachedAt.set(session, now);
      this.#missed.delete(session);
    }
  }

  #checkSessions(now: number): void {
    const { session: own } = this.#options;
    const others = this.#sessions.filter((one) => one.session !== own);
    const openedOffset =
      this.#sessions.find((one) => one.session === own)?.openedOffset ?? Number.POSITIVE_INFINITY;
    const isFirst = this.#computeRank(now) === 0;
    // The rank depends on older sessions only; the first controller looks after all of them.
    others
      .filter((one) => isFirst || one.openedOffset < openedOffset)
      .forEach((one) => this.#probe(one));
    if (isFirst) this.#closeLost(others);
    if (this.#sessions.some((one) => one.session === own)) return;
    if (now - this.#proposedAt < OPEN_RETRY_MS) return;
    this.#proposedAt = now;
    const { dataCentre, address } = this.#options;
    this.#propose([
      {
        type: 'session-open',
        session: own,
        role: 'controller',
        dataCentre,
        address,
        peerAddress: address,
      },
    ]);
  }

  #closeLost(others: SessionState[]): void {
    const lost = others.filter(
      ({ session }) =>
        this.#replaced.has(session) || (this.#missed.get(session) ?? 0) >= LOST_PROBES,
    );
    if (lost.length === 0) return;
    const by = this.#options.session;
    this.#propose(lost.map(({ session }) => ({ type: 'session-end', session, by })));
  }

  #propose(bodies: RecordBody[]): void {
    this.#options.writer.send({ type: 'propose', proposer: this.name, bodies });
  }

  #probe({ session, address }: SessionState): void {
    const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
    createControllerClient(address)
      .ping.query(undefined, { signal })
      .then(
        (found) => this.send({ type: 'probed', session, found: found.session }),
        () => this.send({ type: 'probed', session, found: undefined }),
      );
  }

  #computeRank(now: number): number {
    return computeRank(this.#sessions, {
      own: this.#options.session,
      isAlive: (session) => now - (this.#reachedAt.get(session) ?? 0) < ALIVE_MS,
    });
  }
}
