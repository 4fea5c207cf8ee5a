/** An idle host that can be moved. */
export interface MovableHost {
  machine: string;
  /** Time in ms for which the host has been idle. */
  idleMs: number;
}

/** Load and size of a pool, as inputs of the sizing. */
export interface PoolView {
  name: string;
  isStandby: boolean;
  /** Number of hosts that can accept work now. */
  size: number;
  /** Number of hosts that are being moved into the pool. */
  incoming: number;
  /** Number of hosts needed to run all waiting tasks at the same time. */
  waitingHosts: number;
  /** The part of `waitingHosts` for jobs that can still meet their deadlines. */
  timelyHosts: number;
  /** The part of `waitingHosts` for long-running tasks that could not be placed for a while. */
  lastingHosts: number;
  /** Number of additional hosts that the arriving work would keep busy. */
  risingHosts: number;
  /** Number of hosts that the pool needs for the burst that is forecast next. */
  expectedHosts: number;
  /** Time in ms that the hosts of the pool need for the waiting work. */
  backlogMs: number;
  /** Movable hosts without runs. */
  idle: MovableHost[];
}

/** Move of a machine to another pool. */
export interface PoolMove {
  machine: string;
  to: string;
}

/** Decisions of a sizing. */
export interface SizingPlan {
  moves: PoolMove[];
  /** Pools that have to release hosts: late jobs may not use hosts there that could be moved. */
  releasing: string[];
}

/** Decides which machines move to another pool. */
export abstract class PoolSizing {
  abstract plan(pools: readonly PoolView[]): SizingPlan;
}
