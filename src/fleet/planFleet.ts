import type { RecordBody } from '../record/mod.js';
import type { Fleet } from './Fleet.js';

/**
 * Plans the next records: fills the deficit of each pool from unassigned live hosts.
 *
 * @returns Records to propose; none when the fleet is as the rules want it.
 */
export function planFleet(fleet: Fleet): RecordBody[] {
  const free = fleet.data
    .listObjects('host')
    .filter((host) => {
      const state = fleet.findHostState(host.name);
      return state?.phase === 'unassigned' && state.status === 'live';
    })
    .map((host) => host.name);
  const states = [...fleet.data.hostStates.values()];
  return fleet.data.listObjects('pool').flatMap((pool): RecordBody[] => {
    const held = states.filter((state) => state.pool === pool.name).length;
    const hosts = free.splice(0, Math.max(0, pool.need + pool.headroom - held));
    return hosts.length === 0 ? [] : [{ type: 'host-assign', hosts, pool: pool.name }];
  });
}
