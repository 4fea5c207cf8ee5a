/**
 * The time line of events over all processes.
 *
 * @module
 */
export * from './FleetEvent.js';
export * from './Timeline.js';
