/**
 * Hosts: their inventory entries, their state and the detection of failures.
 *
 * @module
 */
export * from './Host.js';
export * from './HostFailureDetector.js';
export * from './HostState.js';
export * from './hasResources.js';
export * from './sortHostStateFields.js';
export * from './toAddressKey.js';
