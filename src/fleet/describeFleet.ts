import { computeShortfalls } from '../pool/mod.js';
import type { Fleet } from './Fleet.js';

/** Summary of a pool for operators. All counts are numbers of hosts. */
export interface PoolSummary {
  pool: string;
  need: number;
  target: number;
  hosts: number;
  serving: number;
  unavailable: number;
  availabilityBudget: number;
  /** Hosts that the inventory cannot provide to the pool under any assignment. */
  shortfall: number;
}

/** Summary of the fleet for operators. */
export interface FleetSummary {
  revision: number;
  nextOffset: number;
  hosts: number;
  unassigned: number;
  pools: PoolSummary[];
}

/**
 * Describes how many hosts each pool has, how many of them serve, and the shortfall of the
 * inventory.
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
