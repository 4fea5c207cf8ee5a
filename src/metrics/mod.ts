/**
 * Counters and latency histograms of a process.
 *
 * @module
 */
export * from './Metrics.js';
