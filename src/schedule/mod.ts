/**
 * The decisions of the owner of a shard, without network, clock or encoding.
 *
 * @module
 */
export * from './HostBlame.js';
export * from './IdleHostLending.js';
export * from './InterferenceControl.js';
export * from './JobOrder.js';
export * from './JobTable.js';
export * from './LeastWorkFirst.js';
export * from './ManagedHost.js';
export * from './PackingPlacement.js';
export * from './PlacementPolicy.js';
export * from './PoolSizing.js';
export * from './RecentOrders.js';
export * from './Run.js';
export * from './RunLedger.js';
export * from './RunTimeEstimator.js';
export * from './ScheduledJob.js';
export * from './Shard.js';
export * from './ShardCommand.js';
export * from './ShardOptions.js';
export * from './UpkeepPlanner.js';
export * from './canInterrupt.js';
export * from './computeRoom.js';
