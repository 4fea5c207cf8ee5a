/**
 * Services and routing by path prefix.
 *
 * @module
 */
export * from './Service.js';
export * from './findService.js';
