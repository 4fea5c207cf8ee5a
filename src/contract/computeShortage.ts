import type { LendingPool } from './LendingPolicy.js';

/** The facts about a pool without their durations. */
export type PoolSupply = Omit<LendingPool, 'shortMs' | 'calmMs'>;

/** Hosts that the rules and a lasting overload ask for. */
export function computeWanted({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + pool.headroom + extra;
}

/**
 * Hosts that a pool must keep when it lends: with them it still covers its need when the budget is
 * used up.
 */
export function computeFloor({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + extra + pool.availabilityBudget;
}

/** Hosts that a pool lacks by its size; negative for a surplus. What it has lent is not lacking. */
export function computeSizeDeficit(supply: PoolSupply): number {
  const { staying, incoming, lent } = supply;
  const deficit = computeWanted(supply) - staying - incoming - lent;
  return lent > 0 ? Math.max(deficit, computeFloor(supply) - staying - incoming) : deficit;
}

/** Hosts that a pool lacks by its size or because failures leave fewer than it needs. */
export function computeShortage(supply: PoolSupply): number {
  const { pool, extra, staying, failed, incoming } = supply;
  const lacking = pool.need + extra - (staying - failed) - incoming;
  return Math.max(0, computeSizeDeficit(supply), lacking);
}

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
