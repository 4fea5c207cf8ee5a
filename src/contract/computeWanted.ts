import type { PoolSupply } from './LendingPolicy.js';

/** Hosts that the rules and a lasting overload ask for. */
export function computeWanted({ pool, extra }: Pick<PoolSupply, 'pool' | 'extra'>): number {
  return pool.need + pool.headroom + extra;
}
