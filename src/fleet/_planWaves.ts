import type { Pool } from '../pool/mod.js';
import { toRackKey } from '../rack/mod.js';
import { isWindowOpen, scheduleWave, sortByRack, type WaveTurn } from '../wave/mod.js';
import type { HostLists } from './_HostLists.js';
import type { PlanDraft } from './_PlanDraft.js';

/** After this many refusals in a row the budget of a pool is taken as used up. */
const MAX_REFUSALS = 50;

function canBeGranted(draft: PlanDraft, { host, state, startAt }: WaveTurn): boolean {
  return (
    startAt <= draft.now &&
    state.phase === 'serving' &&
    state.status !== 'leaving' &&
    !draft.data.index.isPartitionSuspected(host.dataCentre)
  );
}

/** Plans the grants of one pool, rack by rack, as far as its budget allows. */
function* planWave(draft: PlanDraft, pool: Pool, names: readonly string[]): Generator<undefined> {
  const members = names.flatMap((name) => draft.find(name) ?? []);
  const turns = scheduleWave(pool.name, members, pool.maintenance);
  yield undefined;
  const busyRacks = new Set(
    members
      .filter(({ state }) => state.phase === 'granted' || state.phase === 'maintenance')
      .map(({ host }) => toRackKey(host)),
  );
  const due = turns.filter((turn) => canBeGranted(draft, turn));
  let refusals = 0;
  for (const { host, wave } of sortByRack(due, busyRacks)) {
    const isGranted = draft.propose(host.name, { type: 'maintenance-grant', hosts: [], wave });
    refusals = isGranted ? 0 : refusals + 1;
    if (refusals >= MAX_REFUSALS) return;
  }
}

/** Plans the grants of all pools whose window is open. */
export function* planWaves(draft: PlanDraft, lists: HostLists): Generator<undefined> {
  for (const pool of draft.listPools()) {
    const names = lists.members.get(pool.name);
    if (names !== undefined && isWindowOpen(pool.maintenance, draft.now)) {
      yield* planWave(draft, pool, names);
    }
    yield undefined;
  }
}
