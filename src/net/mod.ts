/**
 * Addresses and HTTP servers.
 *
 * @module
 */
export * from './fetchJson.js';
export * from './openServer.js';
export * from './parseAddress.js';
