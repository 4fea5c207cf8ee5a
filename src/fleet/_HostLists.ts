import type { Host } from '../host/mod.js';
import type { DraftHost, PlanDraft } from './_PlanDraft.js';

/** Hosts read between two yields; 1,000 take about a millisecond. */
const SLICE_HOSTS = 1_000;
/**
 * A host that has not answered for this long is replaced if another host is there. With 10 min for
 * all, each failure of an hour cost a move (130 in 7 days at 1,000 hosts).
 */
const LOST_AFTER_MS = 7_200_000;
/** The same for a pool that has fewer hosts available than it needs. */
const LOST_AFTER_IN_NEED_MS = 600_000;

/** The hosts of a fleet as a plan needs them, each list in the order of names. */
export class HostLists {
  /** Live hosts that belong to no pool. */
  readonly free = new Map<string, Host>();

  readonly busy: string[] = [];

  readonly members = new Map<string, string[]>();

  /** Members that have not answered for long, by pool. */
  readonly lost = new Map<string, string[]>();

  /** Sorts the hosts of a draft into lists, in slices. */
  static *collect(draft: PlanDraft): Generator<undefined, HostLists> {
    const lists = new HostLists();
    const names = [...draft.data.hostStates.keys()].sort();
    yield undefined;
    for (let at = 0; at < names.length; at += 1) {
      const name = names[at] as string;
      const found = draft.find(name);
      if (found !== undefined) lists.#add(name, found, draft);
      if (at % SLICE_HOSTS === 0) yield undefined;
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
    const canBeLost = state.phase === 'serving' || state.phase === 'maintenance';
    const since = Math.max(state.statusSince, state.phaseSince);
    const isLost =
      state.status !== 'live' && draft.now - since >= HostLists.#getLostAfter(draft, state.pool);
    if (!canBeLost || !isLost || draft.data.index.isPartitionSuspected(host.dataCentre)) return;
    HostLists.#addTo(this.lost, state.pool, name);
  }

  static #getLostAfter(draft: PlanDraft, pool: string): number {
    const need = draft.data.configuration.pool.get(pool)?.object.need ?? 0;
    const { members, unavailable } = draft.data.index.getLedger(pool);
    return members - unavailable < need ? LOST_AFTER_IN_NEED_MS : LOST_AFTER_MS;
  }

  static #addTo(lists: Map<string, string[]>, key: string, name: string): void {
    const list = lists.get(key);
    if (list) list.push(name);
    else lists.set(key, [name]);
  }
}
