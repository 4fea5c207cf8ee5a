import type { NodeSettings } from './NodeSettings.js';

/**
 * Processor time in ms for which an owner may be busy between two of its records. A machine with a
 * small share of a core takes as much longer as its share is smaller.
 */
const BUSY_MS = 60;

/**
 * Computes the interval in ms of an owner's records as far as something is slow; 0 if nothing is.
 *
 * @param delaysMs Latency in ms of recent appends, and mean lag in ms of the owner's process.
 * @example
 * ```ts
 * computeRecordInterval({ cores: 1, ownerBeatMs: 250 }, [400, 10]); // 800
 * ```
 */
export function computeRecordInterval(
  { cores, ownerBeatMs }: Pick<NodeSettings, 'cores' | 'ownerBeatMs'>,
  delaysMs: readonly number[],
): number {
  const slowestMs = Math.max(...delaysMs, BUSY_MS / cores);
  return slowestMs < ownerBeatMs ? 0 : Math.round(2 * slowestMs);
}
