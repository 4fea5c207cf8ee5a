/**
 * Claims: at-most-once execution of jobs with an idempotency key.
 *
 * @module
 */
export * from './ClaimAnswer.js';
export * from './ClaimPolicy.js';
export * from './UnclaimedPolicy.js';
