/**
 * Claims: at-most-once execution of jobs with an idempotency key.
 *
 * @module
 */
export * from './chooseHomeDataCentre.js';
export * from './ClaimAnswer.js';
export * from './ClaimChunk.js';
export * from './ClaimKeeper.js';
export * from './ClaimLedger.js';
export * from './ClaimPolicy.js';
export * from './ClaimRequest.js';
export * from './ClaimTable.js';
export * from './GrantAllClaimPolicy.js';
export * from './IdempotencyKey.js';
export * from './KeeperClaimPolicy.js';
export * from './refuseClaim.js';
