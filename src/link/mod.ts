/**
 * Links: the connections to upstream hosts and to other gateways.
 *
 * @module
 */
export * from './Exchange.js';
export * from './ForwardedJob.js';
export * from './ForwardLink.js';
export * from './HostHealth.js';
export * from './HostLink.js';
export * from './HostRotation.js';
export * from './JobForwarder.js';
export * from './PeerApi.js';
export * from './PeerForwarder.js';
export * from './PeerLink.js';
export * from './PeerRouter.js';
export * from './RunResult.js';
export * from './chooseNextStep.js';
export * from './encodeForwardedJob.js';
export * from './stripHeaders.js';
export * from './UnavailableForwarder.js';
export * from './UpstreamHost.js';
