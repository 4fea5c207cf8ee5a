/**
 * The controller, which makes decisions about the fleet and serves its state.
 *
 * @module
 */
export * from './CheckpointKeeper.js';
export * from './chooseProbes.js';
export * from './computeRank.js';
export * from './Controller.js';
export * from './ControllerApi.js';
export * from './ControllerClient.js';
export * from './ControllerPeers.js';
export * from './ControllerRecordSource.js';
export * from './ControllerRouter.js';
export * from './HostListClient.js';
export * from './HostWatcher.js';
export * from './HttpHostListClient.js';
export * from './ProposalDelay.js';
export * from './queryRollout.js';
export * from './HttpMaintenanceActions.js';
export * from './MaintenanceActions.js';
