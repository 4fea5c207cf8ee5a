/**
 * The platform's append-only log.
 *
 * @module
 */
export * from './LogUnavailableError.js';
export * from './OffsetExpiredError.js';
export * from './SourceFaultError.js';
export * from './AppendQueue.js';
export * from './Backoff.js';
export * from './Checkpoint.js';
export * from './CheckpointCollector.js';
export * from './encodeCheckpoint.js';
export * from './HttpLogClient.js';
export * from './LogClient.js';
export * from './LogRecordSource.js';
export * from './LogWriter.js';
export * from './RecordSource.js';
export * from './verifyBatch.js';
