/**
 * Pools of hosts: their rules, their demand and the hosts they lack.
 *
 * @module
 */
export * from './computeShortfalls.js';
export * from './Pool.js';
export * from './DemandEstimator.js';
