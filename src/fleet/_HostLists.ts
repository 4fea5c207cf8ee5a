import { hasResources, type Host, type HostState } from '../host/mod.js';
import type { DraftHost, PlanDraft } from './_PlanDraft.js';

/** Hosts processed between two yields; 1,000 take about a millisecond. */
const HOSTS_PER_SLICE = 1_000;
/**
 * Time without an answer after which a host is replaced if a replacement is available. With 10 min
 * for all pools, each failure that lasted an hour caused a move: 130 moves in 7 days at 1,000
 * hosts.
 */
const LOST_AFTER_MS = 7_200_000;
/** The same limit for a pool that has fewer available hosts than it needs. */
const LOST_AFTER_IN_SHORTAGE_MS = 600_000;

/** The hosts of a fleet grouped for planning. Each list is sorted by host name. */
export class HostLists {
  /** Live hosts that are in no pool. */
  readonly free = new Map<string, Host>();

  /** Members of any pool that are not in phase `serving`. */
  readonly busy: string[] = [];

  /** All hosts in a pool, by pool. */
  readonly members = new Map<string, string[]>();

  /** Borrowed members in phase `serving`, by borrowing pool and owner. */
  readonly borrowed = new Map<string, Map<string, string[]>>();

  /** Number of hosts lent by each pool, without those that are being returned. */
  readonly lent = new Map<string, number>();

  /** Serving members that no longer meet the resource requirements of their pool, by pool. */
  readonly ineligible = new Map<string, string[]>();

  /** Number of down members in data centres that are suspected to be partitioned, by pool. */
  readonly partitioned = new Map<string, number>();

  /** Members that have been down for longer than the limit, by pool. */
  readonly lost = new Map<string, string[]>();

  /** Groups the hosts of a draft, yielding between slices. */
  static *collect(draft: PlanDraft): Generator<undefined, HostLists> {
    const lists = new HostLists();
    const names = [...draft.data.hostStates.keys()].sort();
    yield undefined;
    for (let at = 0; at < names.length; at += 1) {
      const name = names[at] as string;
      const found = draft.find(name);
      if (found !== undefined) lists.#add(name, found, draft);
      if (at % HOSTS_PER_SLICE === 0) yield undefined;
    }
    return lists;
  }

  #add(name: string, { host, state }: DraftHost, draft: PlanDraft): void {
    if (state.pool === undefined) {
      if (state.status === 'live') this.free.set(name, host);
      return;
    }
    if (state.phase !== 'serving') this.busy.push(name);
    HostLists.#addTo(this.members, state.pool, name);
    this.#addLoan(name, state, draft);
    this.#addIneligible(name, { host, state }, draft);
    if (state.status !== 'live' && draft.data.index.isPartitionSuspected(host.dataCentre)) {
      const isDown = state.phase !== 'releasing' && state.phase !== 'maintenance';
      if (isDown) this.partitioned.set(state.pool, (this.partitioned.get(state.pool) ?? 0) + 1);
      return;
    }
    const canBeLost = state.phase === 'serving' || state.phase === 'maintenance';
    const since = Math.max(state.statusSince, state.phaseSince);
    const isLost =
      state.status !== 'live' && draft.now - since >= HostLists.#getLostAfterMs(draft, state.pool);
    if (!canBeLost || !isLost) return;
    HostLists.#addTo(this.lost, state.pool, name);
  }

  #addLoan(name: string, { phase, owner, pool, toPool }: HostState, draft: PlanDraft): void {
    // If the owner is no longer configured, the host belongs to the borrower.
    if (owner === undefined || pool === undefined || !draft.data.configuration.pool.has(owner)) {
      return;
    }
    if (phase === 'releasing' && toPool === owner) return;
    this.lent.set(owner, (this.lent.get(owner) ?? 0) + 1);
    if (phase !== 'serving') return;
    const loans = this.borrowed.get(pool) ?? new Map<string, string[]>();
    this.borrowed.set(pool, loans);
    HostLists.#addTo(loans, owner, name);
  }

  #addIneligible(name: string, { host, state }: DraftHost, draft: PlanDraft): void {
    if (state.phase !== 'serving' || state.pool === undefined) return;
    const rules = draft.data.configuration.pool.get(state.pool)?.object;
    if (rules === undefined || hasResources(host, rules.requires)) return;
    HostLists.#addTo(this.ineligible, state.pool, name);
  }

  static #getLostAfterMs(draft: PlanDraft, pool: string): number {
    const need = draft.data.configuration.pool.get(pool)?.object.need ?? 0;
    const { members, unavailable } = draft.data.index.getLedger(pool);
    return members - unavailable < need ? LOST_AFTER_IN_SHORTAGE_MS : LOST_AFTER_MS;
  }

  static #addTo(lists: Map<string, string[]>, key: string, name: string): void {
    const list = lists.get(key);
    if (list) list.push(name);
    else lists.set(key, [name]);
  }
}
