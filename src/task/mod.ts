/**
 * Jobs of tasks: what a caller submits, and the names of its tasks.
 *
 * @module
 */
export * from './JobSpec.js';
export * from './TaskId.js';
export * from './checkJobSpec.js';
