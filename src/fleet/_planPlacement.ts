import type { ConditionTimer } from '../clock/mod.js';
import {
  computeReturnable,
  computeShortage,
  computeSizeDeficit,
  computeTargetSize,
  type LendingPolicy,
  type PoolLendingState,
  type PlacementPolicy,
  type PoolSupply,
} from '../contract/mod.js';
import { hasResources, type Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { HostLists } from './_HostLists.js';
import type { PlanDraft } from './_PlanDraft.js';

/** Proposals made between two yields. */
const PROPOSALS_PER_SLICE = 200;
/** Delay before a surplus is released, so that reverting a rule change causes no moves. */
const SURPLUS_RELEASE_DELAY_MS = 600_000;

/** A pool that has fewer hosts than its rules require. */
export interface Shortage {
  pool: string;
  /** Number of hosts that are missing after all proposals. */
  lacking: number;
  /** Start of the shortage as observed by this planner. */
  since: number;
}

/** Inputs and policies of placement planning. */
export interface PlacementContext {
  draft: PlanDraft;
  lists: HostLists;
  policy: PlacementPolicy;
  lending: LendingPolicy;
  /** Tracks how long pools have been short, calm or too large, across plans. */
  timer: ConditionTimer;
}

/** Describes the hosts of a pool. Lost and ineligible hosts do not count; incoming hosts do. */
function describeSupply({ draft, lists }: PlacementContext, pool: Pool): PoolSupply {
  const { name } = pool;
  const { members, releasing, incoming, failed } = draft.data.index.getLedger(name);
  const lost = lists.lost.get(name) ?? [];
  const departing = new Set([...lost, ...(lists.ineligible.get(name) ?? [])]);
  const isMember = (host: string): boolean => draft.find(host)?.state.pool === name;
  const leaving = [...departing].filter(
    (host) => isMember(host) && draft.find(host)?.state.phase !== 'releasing',
  );
  const isDown = (host: string): boolean => {
    const state = draft.find(host)?.state;
    return state?.status !== 'live' && state?.phase !== 'maintenance';
  };
  const borrowed = new Map<string, number>();
  lists.borrowed.get(name)?.forEach((hosts, owner) => {
    const retained = hosts.filter((host) => isMember(host) && !leaving.includes(host));
    const serving = retained.filter((host) => draft.find(host)?.state.phase === 'serving').length;
    if (serving > 0) borrowed.set(owner, serving);
  });
  return {
    pool,
    retained: members - releasing - leaving.length,
    // Hosts in a partitioned data centre are expected back and are not replaced.
    failed: failed - (lists.partitioned.get(name) ?? 0) - leaving.filter(isDown).length,
    incoming,
    extra: draft.data.demands.get(name) ?? 0,
    lent: lists.lent.get(name) ?? 0,
    borrowed,
  };
}

function* assignFreeHosts(
  context: PlacementContext,
  { pool, count }: { pool: Pool; count: number },
): Generator<undefined> {
  const { draft, lists, policy } = context;
  if (count <= 0 || lists.free.size === 0) return;
  const candidates = [...lists.free.values()].filter((host) => hasResources(host, pool.requires));
  const ledger = draft.data.index.getLedger(pool.name);
  const chosen = policy.choose({ pool, count, candidates, counts: ledger });
  yield undefined;
  for (let at = 0; at < chosen.length; at += 1) {
    const { name } = chosen[at] as Host;
    if (draft.propose(name, { type: 'host-assign', hosts: [], pool: pool.name })) {
      lists.free.delete(name);
    }
    if (at % PROPOSALS_PER_SLICE === PROPOSALS_PER_SLICE - 1) yield undefined;
  }
}

/** Lists the named hosts that can move now, to the target pool if one is given. */
function listMovableHosts(
  { draft }: PlacementContext,
  { names, target }: { names: readonly string[]; target: Pool | undefined },
): Host[] {
  return names.flatMap((name) => {
    const found = draft.find(name);
    const isMovable = found?.state.phase === 'serving' && found.state.status === 'live';
    if (!isMovable) return [];
    return target === undefined || hasResources(found.host, target.requires) ? [found.host] : [];
  });
}

/**
 * Returns whether a host could be released from its new pool again. A pool that is guarded against
 * rack loss and whose largest rack uses up its budget can neither release nor maintain any host. A
 * pool that is already in that state loses nothing by another host.
 */
function canBeReleasedLater(
  { draft }: PlacementContext,
  { host, to }: { host: Host; to: Pool },
): boolean {
  const ledger = draft.data.index.getLedger(to.name);
  const rack = ledger.countColocated(host).rack + 1;
  return (
    !to.guardRackLoss ||
    rack < to.availabilityBudget ||
    rack <= Math.max(1, ledger.largestRackCount)
  );
}

/** A release of hosts that a pool owns, to another pool or to none. */
interface ReleaseRequest {
  from: Pool;
  to: Pool | undefined;
  count: number;
  isLoan?: true;
}

function release(context: PlacementContext, { from, to, count, isLoan }: ReleaseRequest): number {
  const { draft, lists, policy } = context;
  // Lends one host at a time, since each loan changes which racks are allowed for the next.
  if (isLoan && count > 1) {
    let lent = 0;
    while (lent < count && release(context, { from, to, count: 1, isLoan }) > 0) lent += 1;
    return lent;
  }
  if (count <= 0) return 0;
  const ownHosts = (lists.members.get(from.name) ?? []).filter(
    (name) => draft.find(name)?.state.owner === undefined,
  );
  const movable = listMovableHosts(context, { names: ownHosts, target: to });
  const candidates =
    isLoan && to ? movable.filter((host) => canBeReleasedLater(context, { host, to })) : movable;
  const chosen =
    to === undefined
      ? candidates.slice(0, count)
      : policy.choose({
          pool: to,
          count,
          candidates,
          counts: draft.data.index.getLedger(to.name),
        });
  return chosen.filter(({ name }) =>
    draft.propose(name, {
      type: 'host-release',
      hosts: [],
      fromPool: from.name,
      ...(to && { toPool: to.name }),
      ...(isLoan && { isLoan }),
    }),
  ).length;
}

/** Releases lost and ineligible hosts to no pool, as far as the pool has replacements. */
function releaseReplacedHosts(context: PlacementContext, pool: Pool): void {
  const { draft, lists } = context;
  const extra = draft.data.demands.get(pool.name) ?? 0;
  const wanted = computeTargetSize({ pool, extra }) - (lists.lent.get(pool.name) ?? 0);
  const replaced = [
    ...(lists.lost.get(pool.name) ?? []),
    ...(lists.ineligible.get(pool.name) ?? []),
  ];
  replaced.forEach((name) => {
    const { members, releasing } = draft.data.index.getLedger(pool.name);
    const isIneligible = lists.ineligible.get(pool.name)?.includes(name) ?? false;
    // An ineligible host without a replacement keeps serving while the pool needs it.
    if (members - releasing <= (isIneligible ? pool.need + extra : wanted)) return;
    draft.propose(name, { type: 'host-release', hosts: [], fromPool: pool.name });
  });
}

/**
 * Releases a sustained surplus to pools that are short, and the rest to no pool unless the pool
 * lends.
 */
function releaseSurplus(
  context: PlacementContext,
  { pool, pools }: { pool: Pool; pools: readonly Pool[] },
): void {
  const { timer, draft } = context;
  const supply = describeSupply(context, pool);
  const surplus = supply.borrowed.size > 0 ? 0 : -computeSizeDeficit(supply);
  const surplusMs = timer.measure(`surplus/${pool.name}`, { holds: surplus > 0, now: draft.now });
  if (surplusMs < SURPLUS_RELEASE_DELAY_MS) return;
  let unplaced = surplus;
  pools.forEach((to) => {
    if (to.name === pool.name) return;
    const count = Math.min(unplaced, computeSizeDeficit(describeSupply(context, to)));
    unplaced -= release(context, { from: pool, to, count });
  });
  if (!pool.lends) release(context, { from: pool, to: undefined, count: unplaced });
}

function measurePool(context: PlacementContext, pool: Pool): PoolLendingState {
  const { timer, draft } = context;
  const supply = describeSupply(context, pool);
  const { now } = draft;
  const isShort = computeShortage(supply) > 0;
  const isCalm = computeReturnable(supply) > 0;
  return {
    ...supply,
    shortageMs: timer.measure(`short/${pool.name}`, { holds: isShort, now }),
    returnableMs: timer.measure(`calm/${pool.name}`, { holds: isCalm, now }),
  };
}

/** Returns and makes loans as the lending policy decides. */
function* planLoans(context: PlacementContext, measured: PoolLendingState[]): Generator<undefined> {
  const { draft, lists, lending } = context;
  const pools = new Map(measured.map(({ pool }) => [pool.name, pool]));
  const { loans, returns } = lending.plan(measured);
  for (const { from, to, count } of returns) {
    const names = lists.borrowed.get(from)?.get(to) ?? [];
    const ledger = draft.data.index.getLedger(from);
    // Starts with the fullest racks, which frees guarded budget for the next return.
    listMovableHosts(context, { names, target: pools.get(to) })
      .sort((a, b) => ledger.countColocated(b).rack - ledger.countColocated(a).rack)
      .slice(0, count)
      .forEach(({ name }) => {
        const body = { type: 'host-release' as const, hosts: [], fromPool: from, toPool: to };
        draft.propose(name, body);
      });
    yield undefined;
  }
  for (const { from, to, count } of loans) {
    const lender = pools.get(from);
    const borrower = pools.get(to);
    if (lender && borrower) release(context, { from: lender, to: borrower, count, isLoan: true });
    yield undefined;
  }
}

/**
 * Plans how pools get the hosts they lack: immediately from free hosts, and by loans when the
 * shortage persists. Existing assignments are kept as long as the rules require them.
 *
 * @returns The shortages that remain.
 */
export function* planPlacement(context: PlacementContext): Generator<undefined, Shortage[]> {
  const { draft } = context;
  const pools = draft.listPools();
  for (const pool of pools) {
    const count = computeSizeDeficit(describeSupply(context, pool));
    yield* assignFreeHosts(context, { pool, count });
    releaseReplacedHosts(context, pool);
  }
  const measured: PoolLendingState[] = [];
  for (const pool of pools) {
    const one = measurePool(context, pool);
    if (one.shortageMs >= pool.lendAfterSeconds * 1_000) {
      yield* assignFreeHosts(context, { pool, count: computeShortage(one) });
    }
    measured.push({ ...one, ...describeSupply(context, pool) });
    yield undefined;
  }
  for (const pool of pools) {
    releaseSurplus(context, { pool, pools });
    yield undefined;
  }
  yield* planLoans(context, measured);
  return measured.flatMap((one) => {
    const lacking = computeShortage(describeSupply(context, one.pool));
    if (lacking <= 0) return [];
    return [{ pool: one.pool.name, lacking, since: draft.now - Math.max(0, one.shortageMs) }];
  });
}
