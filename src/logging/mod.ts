/**
 * Logs as JSON lines.
 *
 * @module
 */
export * from './createLogger.js';
