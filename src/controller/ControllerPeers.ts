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
const DEAD_PROBES = 2;
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
  readonly #missed = new Map<string, number>();

  readonly #replaced = new Set<string>();

  #tick = 0;

  #proposedAt = Number.NEGATIVE_INFINITY;

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
      [...this.#missed.keys(), ...this.#replaced].forEach((session) => {
        if (!open.has(session)) this.#clear(session);
      });
    } else if (message.type === 'probed') {
      this.#acceptProbe(message);
    } else this.#checkSessions(now);
    this.#options.onRank(this.#computeRank());
  }

  override close(): void {
    clearInterval(this.#timer);
    super.close();
  }

  #acceptProbe({ session, found }: { session: string; found: string | undefined }): void {
    if (found === session) this.#missed.delete(session);
    else this.#missed.set(session, (this.#missed.get(session) ?? 0) + 1);
    if (found !== undefined && found !== session) this.#replaced.add(session);
  }

  #clear(session: string): void {
    this.#missed.delete(session);
    this.#replaced.delete(session);
  }

  #checkSessions(now: number): void {
    const { session: own } = this.#options;
    const isFirst = this.#computeRank() === 0;
    this.#tick += 1;
    const chosen = chooseProbes(this.#sessions, {
      own,
      isFirst,
      tick: this.#tick,
      isAlive: (session) => this.#isAlive(session),
      isMissed: (session) => this.#missed.has(session),
    });
    chosen.forEach((one) => this.#probe(one));
    if (isFirst) this.#closeLost();
    else this.#expireUnwatched(chosen);
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

  /** A session that is no longer probed counts as alive; its misses are out of date. */
  #expireUnwatched(chosen: SessionState[]): void {
    const watched = new Set(chosen.map(({ session }) => session));
    [...this.#missed.keys()].forEach((session) => {
      if (!watched.has(session)) this.#clear(session);
    });
  }

  #closeLost(): void {
    const lost = this.#sessions.filter(
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
    const { probe = probeController } = this.#options;
    probe(address).then(
      (found) => this.send({ type: 'probed', session, found }),
      () => this.send({ type: 'probed', session, found: undefined }),
    );
  }

  #isAlive(session: string): boolean {
    return (this.#missed.get(session) ?? 0) < DEAD_PROBES;
  }

  #computeRank(): number {
    return computeRank(this.#sessions, {
      own: this.#options.session,
      isAlive: (session) => this.#isAlive(session),
    });
  }
}
