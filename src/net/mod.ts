/**
 * Addresses and HTTP servers.
 *
 * @module
 */
export * from './openServer.js';
export * from './parseAddress.js';
