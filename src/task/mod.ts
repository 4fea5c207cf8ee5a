/**
 * Specifications of submitted jobs, and identifiers of their tasks.
 *
 * @module
 */
export * from './JobSpec.js';
export * from './TaskId.js';
export * from './checkJobSpec.js';
