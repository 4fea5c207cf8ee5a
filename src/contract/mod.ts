/**
 * What the system promises for a pool.
 *
 * @module
 */
export * from './PoolLedger.js';
