import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { FleetReplica, SessionState } from '../fleet/mod.js';
import type { LogWriter } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';
import { chooseProbes } from './chooseProbes.js';
import { computeRank } from './computeRank.js';
import { createControllerClient } from './ControllerClient.js';
import { SessionsProjector } from './_SessionsProjector.js';

/** Proposals of a lost rank 0 wait only for the rank delay, so that probes may be rare. */
const PROBE_INTERVAL_MS = 4_000;
const PROBE_TIMEOUT_MS = 1_000;
/** Missed probes in a row after which a session no longer counts for ranks; one may be lost. */
const UNREACHABLE_AFTER_MISSES = 2;
/**
 * Rank 0 ends the session of a controller that missed this many probes in a row, about a minute.
 * Probes are counted instead of time, since a thawed controller, or one that has just become the
 * first, has not probed the others for long.
 */
const LOST_AFTER_MISSES = 15;
/** An opening of the own session that did not come back from the log is proposed again. */
const OPEN_RETRY_MS = 10_000;

type PeersMessage =
  | { type: 'tick' }
  | { type: 'sessions'; sessions: SessionState[] }
  /** `found` is the session that answered; undefined when none did. */
  | { type: 'probed'; session: string; answeringSession: string | undefined };

/** Options of the peers of a controller. */
export interface ControllerPeersOptions {
  replica: FleetReplica;
  writer: LogWriter;
  clock: Clock;
  /** The own session. */
  session: string;
  dataCentre: string;
  address: string;
  /** Called with the own rank at each tick. */
  onRank: (rank: number) => void;
  /** Asks the controller at an address for its session; over the network by default. */
  probe?: (address: string) => Promise<string>;
}

async function probeController(address: string): Promise<string> {
  const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
  const { session } = await createControllerClient(address).ping.query(undefined, { signal });
  return session;
}

/** Opens the own session, probes the other controllers and computes the own rank. */
export class ControllerPeers extends Actor<PeersMessage> {
  readonly #options: ControllerPeersOptions;

  readonly #timer: NodeJS.Timeout;

  #sessions: SessionState[] = [];

  /**
   * Probes missed in a row. Time plays no part, so that a thawed controller takes the others for
   * alive until it has probed them.
   */
  readonly #missedProbes = new Map<string, number>();

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

  /** A session that is no longer probed counts as alive; its misses are out of date. */
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
