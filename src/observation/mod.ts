/**
 * What a daemon records about itself, served under `/-/`, and fetching it from other processes.
 *
 * @module
 */
export * from './collectObservations.js';
export * from './fetchObservation.js';
export * from './ProcessObserver.js';
export * from './ProcessReport.js';
