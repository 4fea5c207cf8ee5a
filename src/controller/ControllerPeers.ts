import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetReplica, SessionState } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { chooseProbes } from './chooseProbes.js';
import { computeRank } from './computeRank.js';
import { createControllerClient } from './ControllerClient.js';
import { SessionsProjector } from './_SessionsProjector.js';

/**
 * Probes can be infrequent: if rank 0 is lost, the next controller proposes in its place after the
 * rank delay alone, without waiting for the loss to be detected.
 */
const PROBE_INTERVAL_MS = 4_000;
const PROBE_TIMEOUT_MS = 1_000;
/**
 * Consecutive missed probes after which a session no longer counts for ranks. One miss is
 * tolerated, because a single probe may be lost.
 */
const UNREACHABLE_AFTER_MISSES = 2;
/**
 * Consecutive missed probes, about one minute, after which rank 0 ends a controller's session.
 * Probes are counted instead of time, because a controller that was suspended, or that has only
 * just become rank 0, has not probed the others recently.
 */
const LOST_AFTER_MISSES = 15;
/** Retry interval for opening the own session, while the log does not show it as open. */
const OPEN_RETRY_MS = 10_000;

type PeersMessage =
  | { type: 'tick' }
  | { type: 'sessions'; sessions: SessionState[] }
  /** `answeringSession` is the session at the probed address; undefined if there was no answer. */
  | { type: 'probed'; session: string; answeringSession: string | undefined };

/** Options of `ControllerPeers`. */
export interface ControllerPeersOptions {
  replica: FleetReplica;
  writer: LogWriter;
  clock: Clock;
  /** Session id of this controller. */
  session: string;
  dataCentre: string;
  address: string;
  /** Called with the rank of this controller after each message. */
  onRank: (rank: number) => void;
  /** Queries the controller at an address for its session; sends a `ping` call by default. */
  probe?: (address: string) => Promise<string>;
}

async function probeController(address: string): Promise<string> {
  const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
  const { session } = await createControllerClient(address).ping.query(undefined, { signal });
  return session;
}

/** Opens the session of this controller, probes other controllers and computes the own rank. */
export class ControllerPeers extends Actor<PeersMessage> {
  readonly #options: ControllerPeersOptions;

  readonly #timer: NodeJS.Timeout;

  #sessions: SessionState[] = [];

  /**
   * Consecutive missed probes by session. They are independent of time, so that a controller that
   * was suspended treats the others as alive until it has probed them again.
   */
  readonly #missedProbes = new Map<string, number>();

  /** Sessions at whose address a different session has answered. */
  readonly #replacedSessions = new Set<string>();

  #tickCount = 0;

  #openProposedAt = Number.NEGATIVE_INFINITY;

  constructor(scope: ActorScope, options: ControllerPeersOptions) {
    super(scope, 'controller-peers');
    this.#options = options;
    const projector = new SessionsProjector((sessions) =>
      this.send({ type: 'sessions', sessions }),
    );
    options.replica.send({ type: 'subscribe', projector });
    this.#timer = setInterval(() => this.send({ type: 'tick' }), PROBE_INTERVAL_MS);
    this.send({ type: 'tick' });
  }

  protected override receive(message: PeersMessage): void {
    const now = this.#options.clock.readMonotonic();
    if (message.type === 'sessions') {
      this.#sessions = message.sessions;
      const open = new Set(message.sessions.map(({ session }) => session));
      [...this.#missedProbes.keys(), ...this.#replacedSessions].forEach((session) => {
        if (!open.has(session)) this.#forgetProbes(session);
      });
    } else if (message.type === 'probed') {
      this.#handleProbeResult(message);
    } else this.#handleTick(now);
    this.#options.onRank(this.#computeRank());
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  #handleProbeResult({
    session,
    answeringSession,
  }: {
    session: string;
    answeringSession: string | undefined;
  }): void {
    if (answeringSession === session) this.#missedProbes.delete(session);
    else this.#missedProbes.set(session, (this.#missedProbes.get(session) ?? 0) + 1);
    if (answeringSession !== undefined && answeringSession !== session)
      this.#replacedSessions.add(session);
  }

  #forgetProbes(session: string): void {
    this.#missedProbes.delete(session);
    this.#replacedSessions.delete(session);
  }

  #handleTick(now: number): void {
    const { session: own } = this.#options;
    const isRankZero = this.#computeRank() === 0;
    this.#tickCount += 1;
    const chosen = chooseProbes(this.#sessions, {
      own,
      isRankZero,
      tick: this.#tickCount,
      isAlive: (session) => this.#isAlive(session),
      hasMissedProbe: (session) => this.#missedProbes.has(session),
    });
    chosen.forEach((target) => this.#probe(target));
    if (isRankZero) this.#endLostSessions();
    else this.#forgetUnprobed(chosen);
    if (this.#sessions.some((candidate) => candidate.session === own)) return;
    if (now - this.#openProposedAt < OPEN_RETRY_MS) return;
    this.#openProposedAt = now;
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

  /** Treats sessions that are no longer probed as alive, because their misses are out of date. */
  #forgetUnprobed(chosen: SessionState[]): void {
    const probed = new Set(chosen.map(({ session }) => session));
    [...this.#missedProbes.keys()].forEach((session) => {
      if (!probed.has(session)) this.#forgetProbes(session);
    });
  }

  #endLostSessions(): void {
    const lost = this.#sessions.filter(
      ({ session }) =>
        this.#replacedSessions.has(session) ||
        (this.#missedProbes.get(session) ?? 0) >= LOST_AFTER_MISSES,
    );
    if (lost.length === 0) return;
    const by = this.#options.session;
    this.#propose(lost.map(({ session }) => ({ type: 'session-end', session, by })));
  }

  #propose(bodies: RecordBody[]): void {
    this.#options.writer.send({ type: 'propose', proposer: this.name, bodies });
  }

  #probe({ session, address }: SessionState): void {
    const { probe = probeController } = this.#options;
    probe(address).then(
      (answeringSession) => this.send({ type: 'probed', session, answeringSession }),
      () => this.send({ type: 'probed', session, answeringSession: undefined }),
    );
  }

  #isAlive(session: string): boolean {
    return (this.#missedProbes.get(session) ?? 0) < UNREACHABLE_AFTER_MISSES;
  }

  #computeRank(): number {
    return computeRank(this.#sessions, {
      own: this.#options.session,
      isAlive: (session) => this.#isAlive(session),
    });
  }
}
