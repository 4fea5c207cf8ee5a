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
const SLICE_PROPOSALS = 200;
/** A surplus is given up after this time, so that a rule that is changed back costs no moves. */
const SURPLUS_AFTER_MS = 600_000;

/** A pool that gets fewer hosts than its rules ask for. */
export interface Shortage {
  pool: string;
  /** Hosts that are lacking after all proposals. */
  lacking: number;
  /** Since when, as far as this planner has seen it. */
  since: number;
}

/** What placement works with. */
export interface PlacementContext {
  draft: PlanDraft;
  lists: HostLists;
  policy: PlacementPolicy;
  lending: LendingPolicy;
  /** For how long pools have been short, calm or too large; kept from plan to plan. */
  timer: ConditionTimer;
}

/** Describes what a pool has; lost and unfit hosts do not count, those on their way to it do. */
function describeSupply({ draft, lists }: PlacementContext, pool: Pool): PoolSupply {
  const { name } = pool;
  const { members, releasing, incoming, failed } = draft.data.index.getLedger(name);
  const lost = lists.lost.get(name) ?? [];
  const gone = new Set([...lost, ...(lists.unfit.get(name) ?? [])]);
  const isStaying = (host: string): boolean => draft.find(host)?.state.pool === name;
  const leaving = [...gone].filter(
    (host) => isStaying(host) && draft.find(host)?.state.phase !== 'releasing',
  );
  const isDown = (host: string): boolean => {
    const state = draft.find(host)?.state;
    return state?.status !== 'live' && state?.phase !== 'maintenance';
  };
  const borrowed = new Map<string, number>();
  lists.borrowed.get(name)?.forEach((hosts, owner) => {
    const held = hosts.filter((host) => isStaying(host) && !leaving.includes(host));
    const serving = held.filter((host) => draft.find(host)?.state.phase === 'serving').length;
    if (serving > 0) borrowed.set(owner, serving);
  });
  return {
    pool,
    retained: members - releasing - leaving.length,
    // Hosts behind a partition are expected back, and none is moved for them.
    failed: failed - (lists.cutOff.get(name) ?? 0) - leaving.filter(isDown).length,
    incoming,
    extra: draft.data.demands.get(name) ?? 0,
    lent: lists.lent.get(name) ?? 0,
    borrowed,
  };
}

function* assignFree(
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
    if (at % SLICE_PROPOSALS === SLICE_PROPOSALS - 1) yield undefined;
  }
}

/** Hosts of a pool that can go to another one now. */
function listMovable(
  { draft }: PlacementContext,
  { names, target }: { names: readonly string[]; target: Pool | undefined },
): Host[] {
  return names.flatMap((name) => {
    const found = draft.find(name);
    const isFit = found?.state.phase === 'serving' && found.state.status === 'live';
    if (!isFit) return [];
    return target === undefined || hasResources(found.host, target.requires) ? [found.host] : [];
  });
}

/**
 * Whether a host could leave its new pool again: a pool whose guarded budget its largest rack uses up
 * can release no host and be given no maintenance. A pool that is there already loses nothing.
 */
function canReturn({ draft }: PlacementContext, { host, to }: { host: Host; to: Pool }): boolean {
  const ledger = draft.data.index.getLedger(to.name);
  const rack = ledger.countColocated(host).rack + 1;
  return (
    !to.guardRackLoss ||
    rack < to.availabilityBudget ||
    rack <= Math.max(1, ledger.largestRackCount)
  );
}

/** A move of hosts that are the pool's own. */
interface Release {
  from: Pool;
  to: Pool | undefined;
  count: number;
  isLoan?: true;
}

function release(context: PlacementContext, { from, to, count, isLoan }: Release): number {
  const { draft, lists, policy } = context;
  // One at a time, since each loan changes which racks are left for the next.
  if (isLoan && count > 1) {
    let lent = 0;
    while (lent < count && release(context, { from, to, count: 1, isLoan }) > 0) lent += 1;
    return lent;
  }
  if (count <= 0) return 0;
  const own = (lists.members.get(from.name) ?? []).filter(
    (name) => draft.find(name)?.state.owner === undefined,
  );
  const movable = listMovable(context, { names: own, target: to });
  const candidates =
    isLoan && to ? movable.filter((host) => canReturn(context, { host, to })) : movable;
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

/** Releases lost and unfit hosts to no pool, as far as the pool has others in their place. */
function releaseReplaced(context: PlacementContext, pool: Pool): void {
  const { draft, lists } = context;
  const extra = draft.data.demands.get(pool.name) ?? 0;
  const wanted = computeTargetSize({ pool, extra }) - (lists.lent.get(pool.name) ?? 0);
  const replaced = [...(lists.lost.get(pool.name) ?? []), ...(lists.unfit.get(pool.name) ?? [])];
  replaced.forEach((name) => {
    const { members, releasing } = draft.data.index.getLedger(pool.name);
    const isUnfit = lists.unfit.get(pool.name)?.includes(name) ?? false;
    // An unfit host that no other can replace still serves while the pool needs it.
    if (members - releasing <= (isUnfit ? pool.need + extra : wanted)) return;
    draft.propose(name, { type: 'host-release', hosts: [], fromPool: pool.name });
  });
}

/** Gives a lasting surplus to pools that are short, or to none; lending pools keep the rest. */
function releaseSurplus(
  context: PlacementContext,
  { pool, pools }: { pool: Pool; pools: readonly Pool[] },
): void {
  const { timer, draft } = context;
  const supply = describeSupply(context, pool);
  const surplus = supply.borrowed.size > 0 ? 0 : -computeSizeDeficit(supply);
  const surplusMs = timer.measure(`surplus/${pool.name}`, { holds: surplus > 0, now: draft.now });
  if (surplusMs < SURPLUS_AFTER_MS) return;
  let left = surplus;
  pools.forEach((to) => {
    if (to.name === pool.name) return;
    const count = Math.min(left, computeSizeDeficit(describeSupply(context, to)));
    left -= release(context, { from: pool, to, count });
  });
  if (!pool.lends) release(context, { from: pool, to: undefined, count: left });
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

/** Takes loans back and lends, as the policy decides. */
function* planLoans(context: PlacementContext, measured: PoolLendingState[]): Generator<undefined> {
  const { draft, lists, lending } = context;
  const pools = new Map(measured.map(({ pool }) => [pool.name, pool]));
  const { loans, returns } = lending.plan(measured);
  for (const { from, to, count } of returns) {
    const names = lists.borrowed.get(from)?.get(to) ?? [];
    const ledger = draft.data.index.getLedger(from);
    // Hosts of the fullest racks first, which makes room in the guarded budget for the next one.
    listMovable(context, { names, target: pools.get(to) })
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
 * Fills what pools lack: from free hosts at once, by loans when the shortage has lasted. Existing
 * assignments are kept as long as the rules ask for them.
 *
 * @returns What is still lacking.
 */
export function* planPlacement(context: PlacementContext): Generator<undefined, Shortage[]> {
  const { draft } = context;
  const pools = draft.listPools();
  for (const pool of pools) {
    const count = computeSizeDeficit(describeSupply(context, pool));
    yield* assignFree(context, { pool, count });
    releaseReplaced(context, pool);
  }
  const measured: PoolLendingState[] = [];
  for (const pool of pools) {
    const one = measurePool(context, pool);
    if (one.shortageMs >= pool.lendAfterSeconds * 1_000) {
      yield* assignFree(context, { pool, count: computeShortage(one) });
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
