/**
 * Racks: hosts that fail together.
 *
 * @module
 */
export * from './computeRackShare.js';
export * from './RackCounts.js';
export * from './toRackKey.js';
