/**
 * Pools of hosts and their rules.
 *
 * @module
 */
export * from './computeShortfalls.js';
export * from './Pool.js';
export * from './DemandHysteresis.js';
