/**
 * The controller: decides about the fleet and serves its state.
 *
 * @module
 */
export * from './Controller.js';
export * from './ControllerApi.js';
export * from './ControllerClient.js';
export * from './ControllerRecordSource.js';
export * from './ControllerRouter.js';
export * from './HttpMaintenanceActions.js';
export * from './MaintenanceActions.js';
