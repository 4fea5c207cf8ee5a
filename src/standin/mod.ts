/**
 * Minimal stand-ins for the platform and for upstream hosts, for tests, measurements and the demo.
 *
 * @module
 */
export * from './TcpProxy.js';
export * from './PlatformLog.js';
export * from './PlatformStandin.js';
export * from './UpstreamStandin.js';
