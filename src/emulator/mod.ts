/**
 * The users' platform in memory, for tests, measurements and the demo: store, hosts and machines
 * with their faults, behind the same ports as the real one.
 *
 * @module
 */
export * from './EmulatedDecoder.js';
export * from './EmulatedFleet.js';
export * from './EmulatedHost.js';
export * from './EmulatedStore.js';
export * from './NodeCluster.js';
export * from './findOwner.js';
