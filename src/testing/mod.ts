/**
 * Help for tests: waiting for conditions and running processes.
 *
 * @module
 */
export * from './ProcessGroup.js';
export * from './arbitraryEntries.js';
export * from './buildRecords.js';
export * from './readSeed.js';
export * from './RecordingLogClient.js';
export * from './waitFor.js';
export * from './runSteps.js';
