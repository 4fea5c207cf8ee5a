/**
 * Reading from and appending to the platform's append-only log, and checkpoints of the fleet state.
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
