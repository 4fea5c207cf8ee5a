/** An owner counts as silent after this multiple of the interval that it has announced. */
const INTERVAL_FACTOR = 3;
/** Maximum silence in ms, so that a slow owner that ends is replaced in bounded time. */
const MAX_SILENCE_MS = 2_500;

/**
 * Computes how long an owner may be silent before another node claims the shard.
 *
 * An owner whose process or whose store is slow announces the interval of its records. Without that
 * it would be replaced by a node that is not faster and first has to take over the whole state.
 *
 * @param ownerSilenceMs Limit for an owner that is not slow, in ms.
 * @param intervalMs Interval in ms that the owner has announced in its last record.
 * @example
 * ```ts
 * computeSilenceLimit(1_000, 250); // 1000
 * computeSilenceLimit(1_000, 600); // 1800
 * ```
 */
export function computeSilenceLimit(ownerSilenceMs: number, intervalMs: number): number {
  return Math.max(ownerSilenceMs, Math.min(MAX_SILENCE_MS, INTERVAL_FACTOR * intervalMs));
}
