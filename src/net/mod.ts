/**
 * Addresses and HTTP servers.
 *
 * @module
 */
export * from './fetchLean.js';
export * from './openServer.js';
export * from './parseAddress.js';
