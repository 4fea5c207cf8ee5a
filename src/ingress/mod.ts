/**
 * Bounds on what callers may occupy in a process: decisions without sockets. `src/net/` applies
 * them to an HTTP server.
 *
 * @module
 */
export * from './BodyBuffer.js';
export * from './BoundReporter.js';
export * from './ConnectionBudget.js';
export * from './HeldTotals.js';
export * from './IngressSettings.js';
export * from './ProcessBudget.js';
