import { hasResources, type Host, type HostState } from '../host/mod.js';
import type { Fleet } from './Fleet.js';

/** What a host is doing and why, as phrases for operators. */
export interface HostActivity {
  doing: string;
  because: string;
}

function explainUnassigned(fleet: Fleet, host: Host): string {
  const shortPools = fleet.data.listObjects('pool').filter((pool) => {
    const { members, incoming } = fleet.data.index.getLedger(pool.name);
    return members + incoming < pool.need + pool.headroom;
  });
  if (shortPools.length === 0) return 'every pool has the hosts that it asks for';
  const fittingPools = shortPools.filter((pool) => hasResources(host, pool.requires));
  const names = shortPools.map(({ name }) => name).join(', ');
  if (fittingPools.length === 0)
    return `it lacks resources that the pools in need of hosts require (${names})`;
  return `it is about to be assigned; ${fittingPools.map(({ name }) => name).join(', ')} lack hosts`;
}

function explainMember(fleet: Fleet, { pool: name = '' }: HostState): string {
  const pool = fleet.data.configuration.pool.get(name)?.object;
  if (pool === undefined) return `pool "${name}" is not configured`;
  const { members } = fleet.data.index.getLedger(name);
  return `${name} asks for ${pool.need} + ${pool.headroom} hosts and has ${members}`;
}

function describePhase(fleet: Fleet, host: Host, state: HostState): HostActivity {
  const { phase, pool, toPool, wave = '' } = state;
  switch (phase) {
    case 'unassigned':
      return { doing: 'is not in a pool', because: explainUnassigned(fleet, host) };
    case 'releasing':
      return {
        doing: `is draining in ${pool}, moving to ${toPool ?? 'no pool'}`,
        because: explainMember(fleet, toPool === undefined ? state : { ...state, pool: toPool }),
      };
    case 'granted':
      return {
        doing: `is draining in ${pool} for maintenance`,
        because: `it is due in wave ${wave}`,
      };
    case 'maintenance':
      return { doing: `is out of service in ${pool} for maintenance`, because: `wave ${wave}` };
    default:
      return { doing: `serves ${pool}`, because: explainMember(fleet, state) };
  }
}

/**
 * Describes what a host is doing and why, based only on the fleet state.
 *
 * @example
 * ```ts
 * describeActivity(fleet, { host, state }).doing; // 'is draining in match for maintenance'
 * ```
 */
export function describeActivity(
  fleet: Fleet,
  { host, state }: { host: Host; state: HostState },
): HostActivity {
  const activity = describePhase(fleet, host, state);
  if (state.status === 'live') return activity;
  const status = state.status === 'failed' ? 'it has failed' : 'the platform is removing it';
  if (state.phase !== 'serving') return { ...activity, doing: `${activity.doing}; ${status}` };
  return { doing: `belongs to ${state.pool} and receives no work`, because: status };
}
