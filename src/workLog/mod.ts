/**
 * The book of jobs: the fold of a shard's log in the platform's store.
 *
 * @module
 */
export * from './WorkLogRecord.js';
export * from './TrackedJob.js';
export * from './WorkLogView.js';
export * from './describeJobState.js';
