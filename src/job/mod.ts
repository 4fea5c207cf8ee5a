/**
 * Jobs: requests of callers, their outcomes and their error responses.
 *
 * @module
 */
export * from './Job.js';
export * from './Problem.js';
