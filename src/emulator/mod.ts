/**
 * In-memory emulator of the platform for tests, measurements and the demo: store, hosts and machines
 * with fault injection, behind the same ports as the real platform.
 *
 * @module
 */
export * from './EmulatedDecoder.js';
export * from './EmulatedFleet.js';
export * from './EmulatedHost.js';
export * from './EmulatedStore.js';
export * from './NodeCluster.js';
export * from './findOwner.js';
