import { computeSizeDeficit } from './computeSizeDeficit.js';
import type { PoolSupply } from './LendingPolicy.js';

/** Computes how many hosts a pool lacks to reach its target size or, after failures, its need. */
export function computeShortage(supply: PoolSupply): number {
  const { pool, extra, retained: staying, failed, incoming } = supply;
  const lacking = pool.need + extra - (staying - failed) - incoming;
  return Math.max(0, computeSizeDeficit(supply), lacking);
}
