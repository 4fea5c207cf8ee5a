import type { Pool } from '../pool/mod.js';
import { toRackKey } from '../rack/mod.js';
import { isWindowOpen, scheduleWave, sortByRack, type ScheduledHost } from '../wave/mod.js';
import type { HostLists } from './_HostLists.js';
import type { PlanDraft } from './_PlanDraft.js';

/**
 * Minimum time between maintenances of a faulty host. It is maintained ahead of schedule because a
 * reboot may repair it, and because it is unavailable anyway and uses no additional budget.
 */
const REPAIR_INTERVAL_MS = 3_600_000;
/** The budget of a pool is assumed to be used up after this many rejections in a row. */
const MAX_REFUSALS = 50;

function canBeGranted(draft: PlanDraft, { host, state, startAt }: ScheduledHost): boolean {
  const isRepairDue = state.isFaulty && draft.now - state.maintainedAt >= REPAIR_INTERVAL_MS;
  return (
    (startAt <= draft.now || isRepairDue === true) &&
    state.phase === 'serving' &&
    state.status !== 'leaving' &&
    !draft.data.index.isPartitionSuspected(host.dataCentre)
  );
}

/** Plans the maintenance grants of one pool, rack by rack, as far as its budget allows. */
function* planWave(draft: PlanDraft, pool: Pool, names: readonly string[]): Generator<undefined> {
  const members = names.flatMap((name) => draft.find(name) ?? []);
  const scheduled = scheduleWave(pool.name, members, pool.maintenance);
  yield undefined;
  const busyRacks = new Set(
    members
      .filter(({ state }) => state.phase === 'granted' || state.phase === 'maintenance')
      .map(({ host }) => toRackKey(host)),
  );
  const due = scheduled.filter((host) => canBeGranted(draft, host));
  let refusals = 0;
  for (const { host, wave } of sortByRack(due, busyRacks)) {
    const isGranted = draft.propose(host.name, { type: 'maintenance-grant', hosts: [], wave });
    refusals = isGranted ? 0 : refusals + 1;
    if (refusals >= MAX_REFUSALS) return;
  }
}

/** Plans the maintenance grants of all pools with an open maintenance window. */
export function* planWaves(draft: PlanDraft, lists: HostLists): Generator<undefined> {
  for (const pool of draft.listPools()) {
    const names = lists.members.get(pool.name);
    if (names !== undefined && isWindowOpen(pool.maintenance, draft.now)) {
      yield* planWave(draft, pool, names);
    }
    yield undefined;
  }
}
