/**
 * Records of the log: every decision that all processes must agree on.
 *
 * @module
 */
export * from './codec.js';
export * from './ConfigChange.js';
export * from './HostRecord.js';
export * from './PoolDemand.js';
export * from './Record.js';
export * from './SessionRecord.js';
