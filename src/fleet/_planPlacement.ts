import type { PlacementPolicy } from '../contract/mod.js';
import { hasResources, type Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import type { HostLists } from './_HostLists.js';
import type { PlanDraft } from './_PlanDraft.js';

/** Proposals made between two yields. */
const SLICE_PROPOSALS = 200;

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
  /** Since when each pool has been short; kept from plan to plan. */
  shortSince: Map<string, number>;
}

function computeTarget(pool: Pool): number {
  return pool.need + pool.headroom;
}

/** Hosts that a pool lacks; hosts on their way to it count, lost ones and leaving ones do not. */
function computeDeficit({ draft, lists }: PlacementContext, pool: Pool): number {
  const { members, releasing, incoming } = draft.data.index.getLedger(pool.name);
  const lost = lists.lost.get(pool.name)?.length ?? 0;
  return computeTarget(pool) - (members - releasing - lost + incoming);
}

function* assignFree(context: PlacementContext, pool: Pool): Generator<undefined> {
  const { draft, lists, policy } = context;
  const count = computeDeficit(context, pool);
  if (count <= 0 || lists.free.size === 0) return;
  const candidates = [...lists.free.values()].filter((host) => hasResources(host, pool.requires));
  const ledger = draft.data.index.getLedger(pool.name);
  const chosen = policy.choose({ pool, count, candidates, ledger });
  yield undefined;
  for (let at = 0; at < chosen.length; at += 1) {
    const { name } = chosen[at] as Host;
    if (draft.propose(name, { type: 'host-assign', hosts: [], pool: pool.name })) {
      lists.free.delete(name);
    }
    if (at % SLICE_PROPOSALS === SLICE_PROPOSALS - 1) yield undefined;
  }
}

function releaseSurplus(context: PlacementContext, pool: Pool, lender: Pool): void {
  const { draft, lists, policy } = context;
  const surplus = -computeDeficit(context, lender);
  const count = Math.min(computeDeficit(context, pool), surplus);
  if (count <= 0) return;
  const candidates = (lists.members.get(lender.name) ?? []).flatMap((name) => {
    const found = draft.find(name);
    const isFit = found?.state.phase === 'serving' && found.state.status === 'live';
    return isFit && hasResources(found.host, pool.requires) ? [found.host] : [];
  });
  const ledger = draft.data.index.getLedger(pool.name);
  policy.choose({ pool, count, candidates, ledger }).forEach(({ name }) => {
    draft.propose(name, {
      type: 'host-release',
      hosts: [],
      toPool: pool.name,
      fromPool: lender.name,
    });
  });
}

/** Releases lost hosts to no pool, as far as the pool has others in their place. */
function releaseLost({ draft, lists }: PlacementContext, pool: Pool): void {
  (lists.lost.get(pool.name) ?? []).forEach((name) => {
    const { members, releasing } = draft.data.index.getLedger(pool.name);
    if (members - releasing <= computeTarget(pool)) return;
    draft.propose(name, { type: 'host-release', hosts: [], fromPool: pool.name });
  });
}

/**
 * Fills the deficits of the pools: from free hosts at once, from the surplus of lending pools when
 * the shortage has lasted. Existing assignments are kept.
 *
 * @returns What is still lacking.
 */
export function* planPlacement(context: PlacementContext): Generator<undefined, Shortage[]> {
  const { draft, shortSince } = context;
  const pools = draft.listPools();
  const shortages: Shortage[] = [];
  for (const pool of pools) {
    yield* assignFree(context, pool);
    const since = shortSince.get(pool.name) ?? draft.now;
    if (computeDeficit(context, pool) <= 0) shortSince.delete(pool.name);
    else {
      shortSince.set(pool.name, since);
      if (draft.now - since >= pool.lendAfterSeconds * 1_000) {
        const lenders = pools.filter((one) => one.lends && one.name !== pool.name);
        for (const lender of lenders) {
          releaseSurplus(context, pool, lender);
          yield undefined;
        }
      }
    }
    releaseLost(context, pool);
    const lacking = computeDeficit(context, pool);
    if (lacking > 0) shortages.push({ pool: pool.name, lacking, since });
    yield undefined;
  }
  return shortages;
}
