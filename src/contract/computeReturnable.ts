import { computeTargetSize } from './computeTargetSize.js';
import type { PoolSupply } from './LendingPolicy.js';

/** Computes how many borrowed hosts a pool can return without a shortage. */
export function computeReturnable(supply: PoolSupply): number {
  const borrowed = [...supply.borrowed.values()].reduce((sum, count) => sum + count, 0);
  const { pool, extra, retained: staying, failed } = supply;
  const spare = Math.min(
    staying - computeTargetSize(supply) + supply.lent,
    staying - failed - pool.need - extra,
  );
  return Math.max(0, Math.min(borrowed, spare));
}
