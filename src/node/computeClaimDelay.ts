/** Maximum delay in ms of the claim of a node that is much slower than the fastest one. */
const MAX_DELAY_MS = 400;

/**
 * Computes how long a node waits with a claim, so that a node with more processor time is faster.
 *
 * The owner does most of the work of a shard. A node that cannot keep up loses the shard again, and
 * each change of owner costs the next one the whole state.
 *
 * @param cores Processor share of the node, in cores.
 * @param others Processor shares of the other nodes, in cores.
 * @returns A delay in ms; 0 for the fastest node.
 * @example
 * ```ts
 * computeClaimDelay(1, [1, 0.5]); // 0
 * computeClaimDelay(0.5, [1, 0.5]); // 200
 * ```
 */
export function computeClaimDelay(cores: number, others: Iterable<number>): number {
  const fastest = Math.max(cores, ...others);
  return MAX_DELAY_MS * (1 - cores / fastest);
}
