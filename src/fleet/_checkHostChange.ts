import { computeLendingFloor } from '../contract/mod.js';
import type { Host, HostState } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { FleetData } from './_FleetData.js';

/**
 * Checks the availability budget of a pool, with the host already counted as unavailable.
 *
 * Decisions on a failed or leaving host are always allowed, since that host is unavailable anyway.
 * Otherwise failed hosts could not be repaired or replaced once failures have used up the budget.
 *
 * @returns The reason if the budget is exceeded.
 */
export function checkBudget(data: FleetData, pool: Pool, state: HostState): string | undefined {
  if (state.status !== 'live') return undefined;
  const ledger = data.index.getLedger(pool.name);
  if (ledger.computeMargin(pool) >= 0) return undefined;
  const guard = pool.guardRackLoss ? `, and one rack holds ${ledger.largestRackCount} more` : '';
  return `pool "${pool.name}" would have ${ledger.unavailable} unavailable hosts${guard}, above its budget of ${pool.availabilityBudget}`;
}

/**
 * Checks that a release leaves the pool the hosts it needs. Releasing a host that is not live is
 * always allowed.
 */
export function checkNeed(data: FleetData, pool: Pool, state: HostState): string | undefined {
  if (state.status !== 'live') return undefined;
  const { members, releasing } = data.index.getLedger(pool.name);
  if (members - releasing >= pool.need) return undefined;
  return `pool "${pool.name}" would keep ${members - releasing} hosts, below its need of ${pool.need}`;
}

/** Checks that a loan leaves the lender enough members for its own need and its full budget. */
export function checkLoan(data: FleetData, pool: Pool): string | undefined {
  if (!pool.lends) return `pool "${pool.name}" does not lend`;
  const { members, releasing } = data.index.getLedger(pool.name);
  const floor = computeLendingFloor({ pool, extra: data.demands.get(pool.name) ?? 0 });
  if (members - releasing >= floor) return undefined;
  return `pool "${pool.name}" would keep ${members - releasing} hosts, below its need and budget of ${floor}`;
}

/** Checks that the data centre of a host is not suspected to be partitioned. */
export function checkPartition(data: FleetData, host: Host): string | undefined {
  if (!data.index.isPartitionSuspected(host.dataCentre)) return undefined;
  return `no host of data centre "${host.dataCentre}" is live, so it may be partitioned; none is moved`;
}
