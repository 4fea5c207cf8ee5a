/**
 * Socket addresses, HTTP servers and JSON requests.
 *
 * @module
 */
export * from './BodyTooLargeError.js';
export * from './BoundObserver.js';
export * from './BoundReachedError.js';
export * from './fetchJson.js';
export * from './GuardedServer.js';
export * from './measureHead.js';
export * from './openServer.js';
export * from './isSocketAddress.js';
export * from './parseAddress.js';
export * from './SilentObserver.js';
