/**
 * The timeline, metrics and status of a daemon: serving them under `/-/` and fetching them.
 *
 * @module
 */
export * from './collectObservations.js';
export * from './fetchObservation.js';
export * from './ProcessObserver.js';
export * from './ProcessReport.js';
