/**
 * Structured logging as JSON lines.
 *
 * @module
 */
export * from './createLogger.js';
