/**
 * Hosts: what the inventory says of them and the state in which they are.
 *
 * @module
 */
export * from './Host.js';
export * from './HostHysteresis.js';
export * from './HostState.js';
export * from './hasResources.js';
