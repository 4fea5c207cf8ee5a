/**
 * Socket addresses, HTTP servers and JSON requests.
 *
 * @module
 */
export * from './fetchJson.js';
export * from './openServer.js';
export * from './isSocketAddress.js';
export * from './parseAddress.js';
