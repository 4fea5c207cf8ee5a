/**
 * Data centres and regions.
 *
 * @module
 */
export * from './DataCentre.js';
export * from './isPartitionSuspected.js';
