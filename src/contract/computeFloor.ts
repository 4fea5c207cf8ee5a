import type { PoolSupply } from './LendingPolicy.js';

/**
 * Hosts that a pool must keep when it lends: with them it still covers its need when the budget is
 * used up.
 */
export function computeFloor({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + extra + pool.availabilityBudget;
}
