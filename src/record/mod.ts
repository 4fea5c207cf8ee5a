/**
 * Log records, which hold the decisions that all processes must agree on, and their encoding.
 *
 * @module
 */
export * from './codec.js';
export * from './ConfigChange.js';
export * from './HostRecord.js';
export * from './PoolDemand.js';
export * from './Record.js';
export * from './SessionRecord.js';
