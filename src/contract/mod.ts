/**
 * The guarantees given to pools, and the policies that place and lend hosts to keep them.
 *
 * @module
 */
export * from './PoolCounts.js';
export * from './Contract.js';
export * from './PoolGuarantee.js';
export * from './PlacementPolicy.js';
export * from './SpreadPlacement.js';
export * from './LendingPolicy.js';
export * from './SustainedShortageLending.js';
export * from './computeLendingFloor.js';
export * from './computeReturnable.js';
export * from './computeShortage.js';
export * from './computeSizeDeficit.js';
export * from './computeTargetSize.js';
export * from './computeMinimumHeadroom.js';
