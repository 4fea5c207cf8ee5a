/**
 * The customers of the users' platform: their keys and rates, and the decisions of an entry host
 * that depend on them.
 *
 * @module
 */
export * from './SubmissionRate.js';
