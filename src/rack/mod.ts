/**
 * Racks: groups of hosts that can fail together.
 *
 * @module
 */
export * from './computeLargestRackCount.js';
export * from './RackCounts.js';
export * from './toRackKey.js';
