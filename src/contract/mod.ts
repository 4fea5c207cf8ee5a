/**
 * What the system promises for a pool.
 *
 * @module
 */
export * from './PoolLedger.js';
export * from './Contract.js';
export * from './PoolPromise.js';
export * from './PlacementPolicy.js';
export * from './SpreadPlacement.js';
