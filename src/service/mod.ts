/**
 * Services: what a path prefix of the callers leads to.
 *
 * @module
 */
export * from './Service.js';
export * from './findService.js';
