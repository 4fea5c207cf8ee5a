/**
 * Teams and their quotas.
 *
 * @module
 */
export * from './Team.js';
