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
/** How long a host is away at most before its reboot counts as done; the planner uses the same. */
const AWAY_MS = 600_000;

/** What the capacity of the pools is checked against. */
export interface CapacityContext {
  hosts: readonly Host[];
  services: readonly Service[];
}

function createWarning(pool: LocatedObject<Pool>, message: string, ...path: string[]): Finding {
  return { severity: 'warning', message, place: pool.locate(...path) };
}

/** Reports pools that too few hosts fit, or the sum alone when that is all that is lacking. */
function checkSize(pools: readonly LocatedObject<Pool>[], hosts: readonly Host[]): Finding[] {
  const wanted = pools.reduce((sum, { object }) => sum + object.need + object.headroom, 0);
  const shortfalls = computeShortfalls(
    hosts,
    pools.map(({ object }) => object),
  );
  const lacking = [...shortfalls.values()].reduce((sum, one) => sum + one, 0);
  const [first] = pools;
  if (first === undefined || lacking === 0) return [];
  if (lacking === wanted - hosts.length) {
    return [
      createWarning(first, `the pools want ${wanted} hosts, the inventory has ${hosts.length}`),
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

/** Hosts that a pool can have, and how many of them one rack holds at least. */
interface Spread {
  size: number;
  share: number;
}

function computeSpread({ need, headroom, requires }: Pool, hosts: readonly Host[]): Spread {
  const racks = new Map<string, number>();
  const fitting = hosts.filter((host) => hasResources(host, requires));
  fitting.forEach((host) => {
    const key = toRackKey(host);
    racks.set(key, (racks.get(key) ?? 0) + 1);
  });
  const size = Math.min(need + headroom, fitting.length);
  return { size, share: computeLargestRackCount(size, [...racks.values()]) };
}

/**
 * Hosts of a pool that may be away at once at most. Hosts of the only rack of a pool are lost with
 * it, whether they are away or not.
 */
function computeAwayAtOnce(pool: Pool, { size, share }: Spread): number {
  if (!pool.guardRackLoss) return pool.availabilityBudget;
  if (share === size) return pool.availabilityBudget >= size ? size : 0;
  return Math.max(0, pool.availabilityBudget - share);
}

function computeAwayMs(pool: Pool, services: readonly Service[]): number {
  const jobs = services.filter((one) => one.pool === pool.name).map((one) => one.jobTimeoutMs);
  return AWAY_MS + Math.max(0, ...jobs);
}

function checkMaintenance(
  pool: LocatedObject<Pool>,
  spread: Spread,
  services: readonly Service[],
): Finding[] {
  const { availabilityBudget, guardRackLoss, maintenance } = pool.object;
  const away = computeAwayAtOnce(pool.object, spread);
  if (away === 0) {
    const guard = guardRackLoss ? ` with a rack of ${spread.share} hosts to lose` : '';
    const message = `a budget of ${availabilityBudget} leaves no host to maintain${guard}; hosts will be late`;
    return [createWarning(pool, message, 'availabilityBudget')];
  }
  const hours = Array.from({ length: HOURS_A_DAY }, (_, hour) => hour * HOUR_MS).filter((time) =>
    isWindowOpen(maintenance, time),
  ).length;
  const awayMs = computeAwayMs(pool.object, services);
  // The one rack that holds more hosts than all others can lose one more, and the last host of a
  // window may come back after it.
  const atMost = guardRackLoss ? away + 1 : away;
  const turns = (hours * HOUR_MS) / awayMs + maintenance.windows.length;
  const allowed = atMost * turns;
  const needed = spread.size / maintenance.periodDays;
  if (needed <= allowed) return [];
  const message =
    `the period needs ${needed.toFixed(1)} hosts a day; the budget and ${hours} hours of windows ` +
    `allow at most ${allowed.toFixed(1)}, at ${(awayMs / MINUTE_MS).toFixed(1)} min a host`;
  return [createWarning(pool, message, 'maintenance')];
}

function checkPool(pool: LocatedObject<Pool>, { hosts, services }: CapacityContext): Finding[] {
  const { availabilityBudget, guardRackLoss } = pool.object;
  const spread = computeSpread(pool.object, hosts);
  if (spread.size === 0) return [];
  if (guardRackLoss && spread.share > availabilityBudget) {
    const message =
      `one rack holds at least ${spread.share} of ${spread.size} hosts; its loss exceeds the budget ` +
      `of ${availabilityBudget}, and no host can be maintained`;
    return [createWarning(pool, message, 'availabilityBudget')];
  }
  return checkMaintenance(pool, spread, services);
}

/**
 * Reports rules of pools that the inventory allows to be met only in part.
 *
 * Each pool is taken alone, with the best spread over all hosts that it could have, so that no
 * warning is given for something that can be met; together the pools may do worse.
 */
export function checkCapacity(
  pools: readonly LocatedObject<Pool>[],
  context: CapacityContext,
): Finding[] {
  return [...checkSize(pools, context.hosts), ...pools.flatMap((pool) => checkPool(pool, context))];
}
