/**
 * Help for tests: waiting for conditions, running processes, and a log in memory.
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
export * from './SessionLog.js';
export * from './RecordingLogClient.js';
export * from './waitFor.js';
export * from './runSteps.js';
export * from './CallerCrowd.js';
export * from './createKey.js';
export * from './findFreeAddress.js';
export * from './OutcomeLedger.js';
export * from './TestSite.js';
