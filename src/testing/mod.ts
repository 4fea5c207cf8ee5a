/**
 * Help for tests: waiting for conditions and running processes.
 *
 * @module
 */
export * from './FixedClaimPolicy.js';
export * from './GatewayRig.js';
export * from './ProcessGroup.js';
export * from './RecordingForwarder.js';
export * from './waitFor.js';
