import type { NodeRecord, Successor } from '../workLog/mod.js';
import { isStandby } from './isStandby.js';

/** Minimum time in ms between the claims of nodes of successive groups. */
const MIN_STEP_MS = 60;
/** Maximum of this time in ms, so that a shard without an owner gets one in bounded time. */
const MAX_STEP_MS = 1_000;
/** Until a claim is known to the other nodes, an append and a read pass, with a reserve. */
const STEP_LATENCIES = 3;

/** A registered node that may claim the shard. */
interface Candidate {
  name: string;
  cores: number;
  dataCentre: string;
  session: string;
  /** The node reads the work log closely, so that it reads a release at once. */
  isStandby: boolean;
}

/** Options of a `ClaimRanking`. */
export interface ClaimRankingOptions {
  nodes: Iterable<[string, NodeRecord]>;
  /** Name of the node that owned the shard; it comes last, since it has ended or is stopping. */
  owner: string | undefined;
}

/**
 * Order in which the nodes claim a shard: those with the largest processor share first, and among
 * equal ones by name.
 *
 * All nodes know the same order, so that a claim of the first one makes those of the others
 * unnecessary. The number of nodes that may have claimed doubles with each step, so that the shard
 * gets an owner soon even if many nodes have ended.
 *
 * @example
 * ```ts
 * const ranking = new ClaimRanking({ nodes: view.nodes, owner: 'n-3' });
 * ranking.computeRank('n-1', 1.35); // 0
 * ranking.listSuccessors('bzh-a'); // [{ node: 'n-1', session: '...' }, ...]
 * ClaimRanking.computeDelay(0, 4); // 0
 * ClaimRanking.computeDelay(5, 4); // 120
 * ```
 */
export class ClaimRanking {
  readonly #candidates: Candidate[];

  readonly #owner: string | undefined;

  constructor({ nodes, owner }: ClaimRankingOptions) {
    this.#owner = owner;
    const all = [...nodes].map(([name, { cores = 0, dataCentre, session }]) => ({
      name,
      cores,
      dataCentre,
      session,
    }));
    this.#candidates = all
      .filter(({ name }) => name !== owner)
      .map((one) => ({ ...one, isStandby: isStandby(one, all) }))
      .sort((one, other) => other.cores - one.cores || (one.name < other.name ? -1 : 1));
  }

  /** Computes the number of nodes that claim before a node with the given processor share. */
  computeRank(name: string, cores: number): number {
    const others = this.#candidates.filter((one) => one.name !== name);
    if (name === this.#owner) return others.length;
    const isBefore = (one: Candidate): boolean =>
      one.cores > cores || (one.cores === cores && one.name < name);
    return others.filter(isBefore).length;
  }

  /**
   * Lists the nodes to which the owner may hand the shard over, the best one first: the fastest ones,
   * and among equally fast standbys those of other data centres, since the stop of the owner may be
   * part of that of its data centre. Other nodes read the release too late, so they come after them.
   */
  listSuccessors(dataCentre: string): Successor[] {
    const computeOrder = (one: Candidate): number => {
      if (!one.isStandby) return 2;
      return one.dataCentre === dataCentre ? 1 : 0;
    };
    return [...this.#candidates]
      .sort((one, other) => other.cores - one.cores || computeOrder(one) - computeOrder(other))
      .map(({ name, session }) => ({ node: name, session }));
  }

  /** Computes how long in ms a node of the given rank waits with its claim. */
  static computeDelay(rank: number, latencyMs: number): number {
    const group = Math.floor(Math.log2(rank + 1));
    return group * Math.min(MAX_STEP_MS, Math.max(MIN_STEP_MS, STEP_LATENCIES * latencyMs));
  }
}
