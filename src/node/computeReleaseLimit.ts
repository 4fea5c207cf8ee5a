/** Part of the grace period in ms that remains for closing after the release of the shard. */
const CLOSE_RESERVE_MS = 2_000;
/** Minimum time in ms that a release waits for the store. */
const MIN_LIMIT_MS = 1_000;

/**
 * Computes how long in ms a stopping owner waits until its release of the shard is stored.
 *
 * The process serves its open calls until the end of the grace period anyway, and it gives no orders
 * after the release, so giving up earlier would gain nothing. A store that has just become slow, whose
 * latency is not known yet, may need most of this time.
 *
 * @param stopGraceMs Time in ms between the stop signal and the forced end of the process.
 * @example
 * ```ts
 * computeReleaseLimit(6_000); // 4000
 * ```
 */
export function computeReleaseLimit(stopGraceMs: number): number {
  return Math.max(MIN_LIMIT_MS, stopGraceMs - CLOSE_RESERVE_MS);
}
