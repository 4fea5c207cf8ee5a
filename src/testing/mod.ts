/**
 * Help for tests: waiting for conditions, running processes, and a log in memory.
 *
 * @module
 */
export * from './ProcessGroup.js';
export * from './readSeed.js';
export * from './SessionLog.js';
export * from './waitFor.js';
