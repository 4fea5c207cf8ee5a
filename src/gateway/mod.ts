/**
 * The gateway, which dispatches requests of callers to upstream hosts.
 *
 * @module
 */
export * from './Gateway.js';
export * from './GatewayListener.js';
export * from './GatewayParts.js';
export * from './GatewayView.js';
export * from './JobExchange.js';
export * from './KeeperPeerApi.js';
export * from './PeerPort.js';
