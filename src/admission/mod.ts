/**
 * Admission control: decides which jobs are queued, started or shed, without performing I/O or
 * reading clocks.
 *
 * @module
 */
export * from './AdmissionPolicy.js';
export * from './ConcurrencyLimit.js';
export * from './FairPolicy.js';
export * from './FifoPolicy.js';
export * from './RetryBudget.js';
export * from './RunTimeEstimate.js';
