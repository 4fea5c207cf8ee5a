/**
 * Links: the connections to upstream hosts and to other gateways.
 *
 * @module
 */
export * from './encodeForwardedJob.js';
export * from './ForwardedJob.js';
export * from './HostLink.js';
export * from './JobForwarder.js';
export * from './PeerApi.js';
export * from './PeerForwarder.js';
export * from './PeerLink.js';
export * from './PeerRouter.js';
export * from './stripHeaders.js';
