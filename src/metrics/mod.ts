/**
 * Metrics of a process: latencies, counters and resource usage.
 *
 * @module
 */
export * from './Metrics.js';
export * from './MetricsReport.js';
export * from './ProcessMeter.js';
export * from './TrafficMeter.js';
export * from './formatMetrics.js';
