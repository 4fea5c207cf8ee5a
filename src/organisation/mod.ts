/**
 * The customers of the users' platform: their keys and rates, and the decisions of an entry host
 * that depend on them.
 *
 * @module
 */
export * from './CallAuthorizer.js';
export * from './KeyProof.js';
export * from './Organisation.js';
export * from './OrganisationTable.js';
export * from './SubmissionLimiter.js';
export * from './SubmissionRate.js';
