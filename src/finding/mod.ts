/**
 * Errors and warnings about an input, collected with their places and reported together.
 *
 * @module
 */
export * from './Finding.js';
export * from './FindingsError.js';
export * from './describeIssues.js';
export * from './formatFinding.js';
export * from './formatPlace.js';
