/**
 * Timelines: events of processes, their merging and the explanation of their causes.
 *
 * @module
 */
export * from './describeRecord.js';
export * from './explainSubject.js';
export * from './FleetEvent.js';
export * from './formatEvent.js';
export * from './formatExplanation.js';
export * from './listWithdrawals.js';
export * from './mergeTimelines.js';
export * from './Timeline.js';
