/**
 * The platform's append-only log.
 *
 * @module
 */
export * from './LogUnavailableError.js';
export * from './OffsetExpiredError.js';
export * from './HttpLogClient.js';
export * from './LogClient.js';
export * from './LogRecordSource.js';
export * from './LogWriter.js';
export * from './RecordSource.js';
