/**
 * Metrics of a process: latencies, counters and what the process spends.
 *
 * @module
 */
export * from './Metrics.js';
export * from './MetricsReport.js';
export * from './ProcessMeter.js';
export * from './TrafficMeter.js';
export * from './formatMetrics.js';
