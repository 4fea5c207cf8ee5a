/**
 * Links: the connections to upstream hosts and to other gateways.
 *
 * @module
 */
export * from './HostLink.js';
export * from './stripHeaders.js';
