/**
 * Test utilities: polling, process management, load generation, in-memory logs and models.
 *
 * @module
 */
export * from './FixedClaimPolicy.js';
export * from './GatewayRig.js';
export * from './FleetModel.js';
export * from './ProcessGroup.js';
export * from './RecordingForwarder.js';
export * from './arbitraryEntries.js';
export * from './buildRecords.js';
export * from './readSeed.js';
export * from './InMemoryFleetLog.js';
export * from './RecordingLogClient.js';
export * from './waitFor.js';
export * from './runGenerator.js';
export * from './LoadGenerator.js';
export * from './createIdempotencyKey.js';
export * from './findFreeAddress.js';
export * from './OutcomeChecker.js';
export * from './TestCluster.js';
