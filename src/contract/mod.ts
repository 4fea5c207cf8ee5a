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
export * from './LendingPolicy.js';
export * from './LastingLending.js';
export * from './computeFloor.js';
export * from './computeReturnable.js';
export * from './computeShortage.js';
export * from './computeSizeDeficit.js';
export * from './computeWanted.js';
export * from './computeLeastHeadroom.js';
