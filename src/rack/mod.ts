/**
 * Racks: hosts that fail together.
 *
 * @module
 */
export * from './RackCounts.js';
export * from './toRackKey.js';
