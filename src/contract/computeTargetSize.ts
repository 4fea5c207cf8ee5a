import type { PoolSupply } from './LendingPolicy.js';

/** Computes how many hosts the rules of a pool and a sustained overload require. */
export function computeTargetSize({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + pool.headroom + extra;
}
