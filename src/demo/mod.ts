/**
 * A small fleet in one process, to see the system at work.
 *
 * @module
 */
export * from './DemoFleet.js';
export * from './DemoScenario.js';
export * from './DemoContext.js';
export * from './runDemo.js';
