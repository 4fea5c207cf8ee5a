/**
 * Admission control: which jobs wait, start or are shed. Decisions only, without I/O or clocks.
 *
 * @module
 */
export * from './AdmissionPolicy.js';
export * from './ConcurrencyLimit.js';
export * from './FairPolicy.js';
export * from './FifoPolicy.js';
export * from './RetryBudget.js';
export * from './RunTimeEstimate.js';
