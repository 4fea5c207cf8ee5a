/** A host that could be moved. */
export interface MovableHost {
  machine: string;
  /** For how long nothing has run on it, in ms. */
  idleMs: number;
}

/** A pool as the sizing sees it. */
export interface PoolView {
  name: string;
  isStandby: boolean;
  /** Hosts that can take work now. */
  size: number;
  /** Hosts on their way into the pool. */
  incoming: number;
  /** Hosts' worth of room that waiting tasks would take. */
  waitingHosts: number;
  /** The part of it that belongs to jobs which can still be in time. */
  timelyHosts: number;
  /** The part of it that belongs to lasting tasks which have found no room for a while. */
  lastingHosts: number;
  /** Hosts more than the pool has that the arriving work would keep busy. */
  risingHosts: number;
  /** Hosts that the pool should have for the turn that is expected next. */
  expectedHosts: number;
  /** Time in ms in which the hosts of the pool would finish the work that waits. */
  backlogMs: number;
  /** Hosts on which nothing runs. */
  idle: MovableHost[];
}

/** A move of a machine to another pool. */
export interface PoolMove {
  machine: string;
  to: string;
}

/** What a sizing decided. */
export interface SizingPlan {
  moves: PoolMove[];
  /** Pools that are to release hosts: late jobs take no host there that could be moved. */
  releasing: string[];
}

/** Decides which machines change their pool. */
export abstract class PoolSizing {
  abstract plan(pools: readonly PoolView[]): SizingPlan;
}
