/**
 * The fleet state, the records that change it, and the planning of decisions on hosts.
 *
 * @module
 */
export * from './collectSlices.js';
export * from './Fleet.js';
export * from './FleetSnapshot.js';
export * from './Verdict.js';
export * from './compareDocument.js';
export * from './describeActivity.js';
export * from './describeContracts.js';
export * from './describeFleet.js';
export * from './describeHost.js';
export * from './describeWaves.js';
export * from './queryFleet.js';
export * from './FleetFollower.js';
export * from './FleetReplica.js';
export * from './FleetProjector.js';
export * from './ProcessStatus.js';
export * from './RecordsResponse.js';
export * from './parseSnapshot.js';
export * from './planFleet.js';
export * from './readProcessStatus.js';
export type { Shortage } from './_planPlacement.js';
export * from './sessionTimes.js';
