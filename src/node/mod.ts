/**
 * A node: the daemon that runs on each entry host of the users' platform.
 *
 * @module
 */
export * from './CallAnswer.js';
export * from './CallerDesk.js';
export * from './DecisionLog.js';
export * from './MetricsServer.js';
export * from './Node.js';
export * from './NodeParts.js';
export * from './NodeSettings.js';
export * from './QueueTable.js';
