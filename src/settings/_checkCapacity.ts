import type { Finding } from '../finding/mod.js';
import { hasResources, type Host } from '../host/mod.js';
import { computeShortfalls, type Pool } from '../pool/mod.js';
import { computeLargestRackCount, toRackKey } from '../rack/mod.js';
import type { Service } from '../service/mod.js';
import { isWindowOpen } from '../wave/mod.js';
import type { LocatedObject } from './LocatedObject.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const HOURS_A_DAY = 24;
/** Time after which a reboot is assumed to be complete. The planner of the fleet uses the same. */
const REBOOT_ASSUMED_AFTER_MS = 600_000;

/** Fleet objects that the capacity of the pools is checked against. */
export interface CapacityContext {
  hosts: readonly Host[];
  services: readonly Service[];
}

function createWarning(pool: LocatedObject<Pool>, message: string, ...path: string[]): Finding {
  return { severity: 'warning', message, place: pool.locate(...path) };
}

/**
 * Warns about pools with too few matching hosts. If the inventory is only too small in total, warns
 * once about the total.
 */
function checkPoolSizes(pools: readonly LocatedObject<Pool>[], hosts: readonly Host[]): Finding[] {
  const requested = pools.reduce((sum, { object }) => sum + object.need + object.headroom, 0);
  const shortfalls = computeShortfalls(
    hosts,
    pools.map(({ object }) => object),
  );
  const missing = [...shortfalls.values()].reduce((sum, one) => sum + one, 0);
  const [first] = pools;
  if (first === undefined || missing === 0) return [];
  if (missing === requested - hosts.length) {
    return [
      createWarning(first, `the pools want ${requested} hosts, the inventory has ${hosts.length}`),
    ];
  }
  return pools.flatMap((pool) => {
    const { name, need, headroom } = pool.object;
    const count = shortfalls.get(name);
    if (count === undefined) return [];
    const message = `the pool wants ${need + headroom} hosts, the inventory can give it ${need + headroom - count} that meet its requirements`;
    return [createWarning(pool, message, 'requires')];
  });
}

/** Distribution of a pool over racks. */
interface RackSpread {
  /** Number of hosts that the pool can have. */
  size: number;
  /** Number of hosts in the fullest rack if the pool is spread as evenly as possible. */
  largestRackCount: number;
}

function computeRackSpread({ need, headroom, requires }: Pool, hosts: readonly Host[]): RackSpread {
  const racks = new Map<string, number>();
  const matchingHosts = hosts.filter((host) => hasResources(host, requires));
  matchingHosts.forEach((host) => {
    const key = toRackKey(host);
    racks.set(key, (racks.get(key) ?? 0) + 1);
  });
  const size = Math.min(need + headroom, matchingHosts.length);
  return { size, largestRackCount: computeLargestRackCount(size, [...racks.values()]) };
}

/**
 * Computes how many hosts of a pool may be away at once. If the pool has a single rack, hosts that
 * are away do not add to the loss of the rack, which includes them.
 */
function computeMaxAway(pool: Pool, { size, largestRackCount }: RackSpread): number {
  if (!pool.guardRackLoss) return pool.availabilityBudget;
  if (largestRackCount === size) return pool.availabilityBudget >= size ? size : 0;
  return Math.max(0, pool.availabilityBudget - largestRackCount);
}

/** Computes the maximum time that a host is away: draining its jobs, then the reboot. */
function computeAwayMs(pool: Pool, services: readonly Service[]): number {
  const jobTimeouts = services
    .filter((one) => one.pool === pool.name)
    .map((one) => one.jobTimeoutMs);
  return REBOOT_ASSUMED_AFTER_MS + Math.max(0, ...jobTimeouts);
}

function checkMaintenance(
  pool: LocatedObject<Pool>,
  spread: RackSpread,
  services: readonly Service[],
): Finding[] {
  const { availabilityBudget, guardRackLoss, maintenance } = pool.object;
  const away = computeMaxAway(pool.object, spread);
  if (away === 0) {
    const guard = guardRackLoss ? ` with a rack of ${spread.largestRackCount} hosts to lose` : '';
    const message = `a budget of ${availabilityBudget} leaves no host to maintain${guard}; hosts will be late`;
    return [createWarning(pool, message, 'availabilityBudget')];
  }
  const openHours = Array.from({ length: HOURS_A_DAY }, (_, hour) => hour * HOUR_MS).filter(
    (time) => isWindowOpen(maintenance, time),
  ).length;
  const awayMs = computeAwayMs(pool.object, services);
  // One more host can be away in a rack that holds more hosts than all others, and the last host of
  // each window may come back after the window has closed.
  const awayLimit = guardRackLoss ? away + 1 : away;
  const turnsPerDay = (openHours * HOUR_MS) / awayMs + maintenance.windows.length;
  const allowed = awayLimit * turnsPerDay;
  const needed = spread.size / maintenance.periodDays;
  if (needed <= allowed) return [];
  const message =
    `the period needs ${needed.toFixed(1)} hosts a day; the budget and ${openHours} hours of windows ` +
    `allow at most ${allowed.toFixed(1)}, at ${(awayMs / MINUTE_MS).toFixed(1)} min a host`;
  return [createWarning(pool, message, 'maintenance')];
}

function checkPool(pool: LocatedObject<Pool>, { hosts, services }: CapacityContext): Finding[] {
  const { availabilityBudget, guardRackLoss } = pool.object;
  const spread = computeRackSpread(pool.object, hosts);
  if (spread.size === 0) return [];
  if (guardRackLoss && spread.largestRackCount > availabilityBudget) {
    const message =
      `one rack holds at least ${spread.largestRackCount} of ${spread.size} hosts; its loss exceeds the budget ` +
      `of ${availabilityBudget}, and no host can be maintained`;
    return [createWarning(pool, message, 'availabilityBudget')];
  }
  return checkMaintenance(pool, spread, services);
}

/**
 * Warns about pool rules that the inventory cannot fully satisfy.
 *
 * Each pool is checked alone, with the best possible spread over all matching hosts, so that rules
 * that can be satisfied never cause a warning. Pools that compete for hosts may still fall short.
 */
export function checkCapacity(
  pools: readonly LocatedObject<Pool>[],
  context: CapacityContext,
): Finding[] {
  return [
    ...checkPoolSizes(pools, context.hosts),
    ...pools.flatMap((pool) => checkPool(pool, context)),
  ];
}
