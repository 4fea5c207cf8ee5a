/**
 * The decisions of the owner of a shard, without network, clock or encoding.
 *
 * @module
 */
export * from './HealthInquiry.js';
export * from './HostBlame.js';
export * from './HostSuspicion.js';
export * from './IdleHostLending.js';
export * from './InterferenceControl.js';
export * from './JobOrder.js';
export * from './JobTable.js';
export * from './LeastWorkFirst.js';
export * from './ManagedHost.js';
export * from './PackingPlacement.js';
export * from './PlacementPolicy.js';
export * from './PlacementRound.js';
export * from './PoolSizing.js';
export * from './RecentOrders.js';
export * from './Run.js';
export * from './RunLedger.js';
export * from './RunProgress.js';
export * from './RunTimeEstimator.js';
export * from './ScheduledJob.js';
export * from './Shard.js';
export * from './ShardCommand.js';
export * from './ShardOptions.js';
export * from './SlownessControl.js';
export * from './UpkeepPlanner.js';
export * from './canInterrupt.js';
export * from './computeRoom.js';
