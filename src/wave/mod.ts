/**
 * Maintenance waves: which host is due when, in which order, and why one is late.
 *
 * @module
 */
export * from './computeDueTime.js';
export * from './explainLateness.js';
export * from './isWindowOpen.js';
export * from './scheduleWave.js';
export * from './sortByRack.js';
export * from './ScheduledHost.js';
