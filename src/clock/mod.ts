/**
 * Clocks and time measurement.
 *
 * @module
 */
export * from './Clock.js';
export * from './TimeReading.js';
export * from './ManualClock.js';
export * from './OffsetClock.js';
export * from './SystemClock.js';
export * from './ConditionTimer.js';
