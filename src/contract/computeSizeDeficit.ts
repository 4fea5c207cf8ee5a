import { computeFloor } from './computeFloor.js';
import { computeWanted } from './computeWanted.js';
import type { PoolSupply } from './LendingPolicy.js';

/** Hosts that a pool lacks by its size; negative for a surplus. What it has lent is not lacking. */
export function computeSizeDeficit(supply: PoolSupply): number {
  const { staying, incoming, lent } = supply;
  const deficit = computeWanted(supply) - staying - incoming - lent;
  return lent > 0 ? Math.max(deficit, computeFloor(supply) - staying - incoming) : deficit;
}
