import { computeShortfalls } from '../pool/mod.js';
import type { Fleet } from './Fleet.js';

/** One pool as operators read it. Counts are hosts. */
export interface PoolSummary {
  pool: string;
  need: number;
  target: number;
  hosts: number;
  serving: number;
  unavailable: number;
  availabilityBudget: number;
  /** Hosts that the pool cannot get from the inventory, however the hosts are given out. */
  shortfall: number;
}

/** The fleet as operators read it. */
export interface FleetSummary {
  revision: number;
  nextOffset: number;
  hosts: number;
  unassigned: number;
  pools: PoolSummary[];
}

/**
 * Describes how many hosts each pool has, how many serve, and what the inventory cannot provide.
 *
 * @example
 * ```ts
 * describeFleet(fleet).pools.filter(({ shortfall }) => shortfall > 0);
 * ```
 */
export function describeFleet(fleet: Fleet): FleetSummary {
  const states = [...fleet.data.hostStates.values()];
  const configured = fleet.data.listObjects('pool');
  const shortfalls = computeShortfalls(fleet.data.listObjects('host'), configured);
  const pools = configured.map((pool) => {
    const members = states.filter((state) => state.pool === pool.name);
    const serving = members.filter(
      (state) => state.phase === 'serving' && state.status === 'live',
    ).length;
    return {
      pool: pool.name,
      need: pool.need,
      target: pool.need + pool.headroom,
      hosts: members.length,
      serving,
      unavailable: members.length - serving,
      availabilityBudget: pool.availabilityBudget,
      shortfall: shortfalls.get(pool.name) ?? 0,
    };
  });
  return {
    revision: fleet.revision,
    nextOffset: fleet.nextOffset,
    hosts: states.length,
    unassigned: states.filter((state) => state.phase === 'unassigned').length,
    pools,
  };
}
