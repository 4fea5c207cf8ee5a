import { computeWanted } from './computeWanted.js';
import type { PoolSupply } from './LendingPolicy.js';

/** Borrowed hosts that a pool could do without. */
export function computeReturnable(supply: PoolSupply): number {
  const borrowed = [...supply.borrowed.values()].reduce((sum, count) => sum + count, 0);
  const { pool, extra, staying, failed } = supply;
  const spare = Math.min(
    staying - computeWanted(supply) + supply.lent,
    staying - failed - pool.need - extra,
  );
  return Math.max(0, Math.min(borrowed, spare));
}
