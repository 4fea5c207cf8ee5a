/**
 * The book of jobs: the fold of a shard's log in the platform's store.
 *
 * @module
 */
export * from './BookRecord.js';
export * from './BookedJob.js';
export * from './JobBook.js';
export * from './describeJobState.js';
