import type { PoolSupply } from './LendingPolicy.js';

/**
 * Computes how many hosts a pool must keep when it lends: enough to cover its need even when its
 * availability budget is exhausted.
 */
export function computeLendingFloor({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + extra + pool.availabilityBudget;
}
