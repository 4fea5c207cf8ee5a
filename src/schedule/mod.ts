/**
 * Scheduling decisions of a shard's owner, independent of network, clock and message encoding.
 *
 * @module
 */
export * from './CallerStanding.js';
export * from './CapGuard.js';
export * from './FaultyHostDetector.js';
export * from './HealthCheckPlanner.js';
export * from './HostMonitor.js';
export * from './IdleHostLending.js';
export * from './InterferenceControl.js';
export * from './JobTable.js';
export * from './DelayCost.js';
export * from './LeastCostFirst.js';
export * from './LeastWorkFirst.js';
export * from './MaintenancePlanner.js';
export * from './ManagedHost.js';
export * from './NoOrganisations.js';
export * from './OrganisationStanding.js';
export * from './Organisations.js';
export * from './PackingPlacement.js';
export * from './PlacementPolicy.js';
export * from './PlacementRound.js';
export * from './PoolSizing.js';
export * from './PreviousOwners.js';
export * from './RecentMachineOrders.js';
export * from './Run.js';
export * from './RunProgress.js';
export * from './RunTimeEstimator.js';
export * from './RunTracker.js';
export * from './ScheduledJob.js';
export * from './SchedulingPolicy.js';
export type { StartRule } from './StartPlanner.js';
export * from './Shard.js';
export * from './ShardCommand.js';
export * from './ShardOptions.js';
export * from './SlowHostDetector.js';
export * from './Takeover.js';
export * from './canInterrupt.js';
export * from './computeResourceRequest.js';
export * from './findImpossibleStep.js';
