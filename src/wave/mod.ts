/**
 * Maintenance waves: when hosts are due, in which order they are maintained, and why one is late.
 *
 * @module
 */
export * from './computeDueTime.js';
export * from './explainLateness.js';
export * from './isWindowOpen.js';
export * from './scheduleWave.js';
export * from './sortByRack.js';
export * from './ScheduledHost.js';
