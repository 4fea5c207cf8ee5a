/**
 * Records of a shard's work log in the platform's store, and the view built from them.
 *
 * @module
 */
export * from './WorkLogRecord.js';
export * from './TrackedJob.js';
export * from './WorkLogView.js';
export * from './collectOccurrences.js';
export * from './describeJobState.js';
export * from './encodeAcceptedJob.js';
