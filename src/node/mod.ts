/**
 * The node daemon, which runs on each entry host of the users' platform: it serves callers and may
 * own the shard.
 *
 * @module
 */
export * from './CallResponse.js';
export * from './JobService.js';
export * from './DecisionLog.js';
export * from './IngressObserver.js';
export * from './MetricsServer.js';
export * from './Node.js';
export * from './NodeContext.js';
export * from './NodeSettings.js';
export * from './QueueTable.js';
