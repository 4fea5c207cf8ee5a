/**
 * The state of the fleet and the decisions about it.
 *
 * @module
 */
export * from './Fleet.js';
export * from './FleetSnapshot.js';
export * from './Verdict.js';
export * from './describeFleet.js';
export * from './FleetFollower.js';
export * from './FleetKeeper.js';
export * from './FleetProjector.js';
export * from './planFleet.js';
export * from './sessionTimes.js';
