/**
 * Links: the connections to upstream hosts and to other gateways.
 *
 * @module
 */
export * from './chooseNextStep.js';
export * from './Exchange.js';
export * from './HostHealth.js';
export * from './HostLink.js';
export * from './HostRotation.js';
export * from './JobForwarder.js';
export * from './RunResult.js';
export * from './stripHeaders.js';
export * from './UnavailableForwarder.js';
export * from './UpstreamHost.js';
