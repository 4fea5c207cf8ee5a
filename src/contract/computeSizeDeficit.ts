import { computeLendingFloor } from './computeLendingFloor.js';
import { computeTargetSize } from './computeTargetSize.js';
import type { PoolSupply } from './LendingPolicy.js';

/**
 * Computes how many hosts a pool lacks to reach its target size; negative for a surplus. Lent hosts
 * do not count as lacking, except below the lending floor.
 */
export function computeSizeDeficit(supply: PoolSupply): number {
  const { retained: staying, incoming, lent } = supply;
  const deficit = computeTargetSize(supply) - staying - incoming - lent;
  return lent > 0 ? Math.max(deficit, computeLendingFloor(supply) - staying - incoming) : deficit;
}
