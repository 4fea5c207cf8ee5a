import { computeSizeDeficit } from './computeSizeDeficit.js';
import type { PoolSupply } from './LendingPolicy.js';

/** Hosts that a pool lacks by its size or because failures leave fewer than it needs. */
export function computeShortage(supply: PoolSupply): number {
  const { pool, extra, staying, failed, incoming } = supply;
  const lacking = pool.need + extra - (staying - failed) - incoming;
  return Math.max(0, computeSizeDeficit(supply), lacking);
}
