import type { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { PoolLedger } from './PoolLedger.js';

/** What a pool lacks and the hosts that could be given to it. */
export interface PlacementRequest {
  pool: Pool;
  /** Hosts that the pool lacks. */
  count: number;
  candidates: readonly Host[];
  ledger: Readonly<PoolLedger>;
}

/**
 * Chooses which hosts a pool gets.
 *
 * The planner asks only for the deficit that remains after all existing assignments are kept, so
 * that no policy can cause moves that are not needed.
 */
export abstract class PlacementPolicy {
  /** Chooses at most `count` of the candidates, which all meet the requirements of the pool. */
  abstract choose(request: PlacementRequest): Host[];
}
