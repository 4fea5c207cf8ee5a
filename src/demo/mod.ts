/**
 * Demo scenarios on a small fleet in one process.
 *
 * @module
 */
export * from './DemoFleet.js';
export * from './DemoScenario.js';
export * from './DemoContext.js';
export * from './runDemo.js';
