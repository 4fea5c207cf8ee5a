import type { NodeRecord, OwnerRecord } from '../workLog/mod.js';
import { ClaimRanking } from './ClaimRanking.js';
import { computeClaimDelay } from './computeClaimDelay.js';
import { computeSilenceLimit } from './computeSilenceLimit.js';
import type { FollowerState } from './TopicFollower.js';

/** Maximum random delay in ms if there is no owner: the nodes do not know each other yet. */
const UNOWNED_JITTER_MS = 30;
/**
 * Time in ms for which the other nodes leave a released shard to the named successor, which has
 * responded to the owner just before. A store that has just become slow takes some 0.5 s until the
 * claim is stored and read.
 */
const SUCCESSOR_MS = 1_000;
/** The successor is given this multiple of the latency of appends if that is longer. */
const SUCCESSOR_LATENCIES = 5;

/** Maximum of this time in ms. */
const MAX_SUCCESSOR_MS = 2_500;

/** What a node has read about the owner and the other nodes. */
export interface OwnershipView {
  owner: OwnerRecord | undefined;
  nodes: ReadonlyMap<string, NodeRecord>;
  /** The process of the owner has ended. */
  hasOwnerEnded: boolean;
}

/** Times of a decision, in ms. */
export interface ClaimTimes {
  /** Monotonic time. */
  now: number;
  /** Monotonic time at which a record of the owner was last read. */
  ownerSeenAt: number;
  /** Latency of recent appends of this node. */
  latencyMs: number;
}

/** Options of a `ClaimSchedule`. */
export interface ClaimScheduleOptions {
  name: string;
  /** Processor share of the node in cores. */
  cores: number;
  /** Identifies this run of the node's process. */
  session: string;
  /** See `NodeSettings`. */
  ownerSilenceMs: number;
  random: () => number;
}

/**
 * Decides when a node claims the shard, so that a slow store receives one claim and then few.
 *
 * A released shard is left to the successor that its owner has named. Otherwise the first node of
 * the `ClaimRanking` claims at once, and the others follow by rank, at intervals in which a claim
 * becomes known to them.
 *
 * @example
 * ```ts
 * const schedule = new ClaimSchedule({ name: 'n-1', cores: 1, session, ownerSilenceMs, random });
 * schedule.computeWait(view, state, { now, ownerSeenAt, latencyMs: 4 }); // 0: claim now
 * ```
 */
export class ClaimSchedule {
  readonly #options: ClaimScheduleOptions;

  readonly #unownedJitterMs: number;

  /** When this node noticed that the owner had gone, and the last record of the owner. */
  #gone: { token: number; ownerSeenAt: number; at: number } | undefined;

  constructor(options: ClaimScheduleOptions) {
    this.#options = options;
    this.#unownedJitterMs = options.random() * UNOWNED_JITTER_MS;
  }

  /**
   * Computes after which time in ms the shard may be claimed; undefined if the owner is not known to
   * have gone. The silence of an owner is known only after further reads.
   */
  computeWait(view: OwnershipView, state: FollowerState, times: ClaimTimes): number | undefined {
    const { owner } = view;
    const { now, ownerSeenAt } = times;
    if (owner === undefined) {
      const waitMs = this.#unownedJitterMs + this.#computeDelay(view, times);
      return Math.max(0, state.contactSince + waitMs - now);
    }
    if (owner.isReleased) {
      const waitMs = this.#isSuccessor(owner) ? 0 : this.#computeDelay(view, times);
      return Math.max(0, Math.max(state.contactSince, ownerSeenAt) + waitMs - now);
    }
    // This process owned the shard and lost it, for example because it was suspended.
    if (owner.session === this.#options.session) return 0;
    // Silence is only known up to the time at which the state was current: a node that was suspended
    // has not read what the owner wrote meanwhile.
    const silentMs = state.freshAt - Math.max(ownerSeenAt, state.contactSince);
    const limitMs = computeSilenceLimit(this.#options.ownerSilenceMs, owner.intervalMs);
    if (!view.hasOwnerEnded && silentMs <= limitMs) {
      // After an outage the silence begins again, and so do the delays.
      this.#gone = undefined;
      return undefined;
    }
    // During an outage no claim became known, so the delays do not pass before its end.
    const goneAt = Math.max(this.#markGone(owner, { now, ownerSeenAt }), state.contactSince);
    return Math.max(0, goneAt + this.#computeDelay(view, times) - now);
  }

  /**
   * Returns the time at which this node noticed that the owner had gone. The delays of all nodes begin
   * then: a read that takes long shows a silence that exceeds the delay of every node.
   */
  #markGone({ token }: OwnerRecord, times: Pick<ClaimTimes, 'now' | 'ownerSeenAt'>): number {
    const { now, ownerSeenAt } = times;
    if (this.#gone?.token !== token || this.#gone.ownerSeenAt !== ownerSeenAt) {
      this.#gone = { token, ownerSeenAt, at: now };
    }
    return this.#gone.at;
  }

  #isSuccessor({ successor }: OwnerRecord): boolean {
    const { name, session } = this.#options;
    return successor?.node === name && successor.session === session;
  }

  /** Computes the delay in ms of a node that is not the named successor. */
  #computeDelay({ owner, nodes }: OwnershipView, times: ClaimTimes): number {
    const { name, cores } = this.#options;
    const announcedMs = owner?.storeLatencyMs ?? 0;
    const latencyMs = Math.max(times.latencyMs, announcedMs);
    const rank = new ClaimRanking({ nodes, owner: owner?.node }).computeRank(name, cores);
    const others = [...nodes].flatMap(([other, node]) =>
      other === name || node.cores === undefined ? [] : [node.cores],
    );
    const isLeftToSuccessor = owner?.isReleased === true && owner.successor !== undefined;
    const successorMs = isLeftToSuccessor
      ? Math.min(MAX_SUCCESSOR_MS, Math.max(SUCCESSOR_MS, SUCCESSOR_LATENCIES * latencyMs))
      : 0;
    const rankMs = ClaimRanking.computeDelay(rank, latencyMs);
    return successorMs + rankMs + computeClaimDelay(cores, others);
  }
}
