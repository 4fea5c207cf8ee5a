import { Contract, type GuaranteeResult } from '../contract/mod.js';
import { computeDueTime } from '../wave/mod.js';
import { describeHost } from './describeHost.js';
import type { Fleet } from './Fleet.js';

/** Maximum number of late hosts listed per pool. `lateHosts` counts all of them. */
const MAX_LISTED_HOSTS = 20;

/** A host that was not maintained within its period. */
export interface LateHost {
  host: string;
  dueAt: number;
  reason: string;
}

/** The promises of a pool, for operators. */
export interface ContractDescription {
  pool: string;
  promises: GuaranteeResult[];
  /** The hosts that have been late for the longest time. */
  late: LateHost[];
  lateHosts: number;
}

/** Collects the late hosts by pool in a single pass over the fleet. */
function collectLateHosts(
  fleet: Fleet,
  now: number,
): Map<string, { host: string; dueAt: number }[]> {
  const late = new Map<string, { host: string; dueAt: number }[]>();
  fleet.data.hostStates.forEach((state, host) => {
    const pool = fleet.data.configuration.pool.get(state.pool ?? '')?.object;
    if (pool === undefined) return;
    const dueAt = computeDueTime(state, pool.maintenance);
    if (dueAt >= now) return;
    const list = late.get(pool.name);
    if (list) list.push({ host, dueAt });
    else late.set(pool.name, [{ host, dueAt }]);
  });
  return late;
}

/**
 * Describes which promises hold and by what margin, and which hosts are late and why.
 *
 * @param now Milliseconds since the Unix epoch.
 * @example
 * ```ts
 * describeContracts(fleet, now).flatMap((one) => one.promises.filter((promise) => !promise.holds));
 * ```
 */
export function describeContracts(fleet: Fleet, now: number): ContractDescription[] {
  const contract = new Contract();
  const lateByPool = collectLateHosts(fleet, now);
  return fleet.data.listObjects('pool').map((pool) => {
    const all = lateByPool.get(pool.name) ?? [];
    all.sort((a, b) => a.dueAt - b.dueAt || (a.host < b.host ? -1 : 1));
    const ledger = fleet.data.index.getLedger(pool.name);
    return {
      pool: pool.name,
      promises: contract.check({ pool, counts: ledger, lateHosts: all.length }),
      late: all.slice(0, MAX_LISTED_HOSTS).map((one) => {
        const reason = describeHost(fleet, { name: one.host, now })?.lateReason ?? '';
        return { ...one, reason };
      }),
      lateHosts: all.length,
    };
  });
}
