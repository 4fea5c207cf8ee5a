/**
 * Jobs: the requests of callers and what becomes of them.
 *
 * @module
 */
export * from './Job.js';
export * from './Problem.js';
