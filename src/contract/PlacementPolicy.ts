import type { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { PoolCounts } from './PoolCounts.js';

/** A request for hosts for one pool. */
export interface PlacementRequest {
  pool: Pool;
  /** Number of hosts that the pool lacks. */
  count: number;
  candidates: readonly Host[];
  counts: Readonly<PoolCounts>;
}

/**
 * Selects the hosts to assign to a pool.
 *
 * The planner keeps all existing assignments and requests only the remaining deficit, so no policy
 * can cause unnecessary moves.
 */
export abstract class PlacementPolicy {
  /** Selects at most `count` candidates; all candidates meet the requirements of the pool. */
  abstract choose(request: PlacementRequest): Host[];
}
