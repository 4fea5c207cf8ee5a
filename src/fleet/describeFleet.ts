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
}

/** The fleet as operators read it. */
export interface FleetSummary {
  revision: number;
  nextOffset: number;
  hosts: number;
  unassigned: number;
  pools: PoolSummary[];
}

/** Describes how many hosts each pool has and how many serve. */
export function describeFleet(fleet: Fleet): FleetSummary {
  const states = [...fleet.data.hostStates.values()];
  const pools = fleet.data.listObjects('pool').map((pool) => {
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
