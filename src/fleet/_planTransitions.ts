import type { PlanDraft } from './_PlanDraft.js';
import type { HostLists } from './_HostLists.js';

/** A reboot that the host list did not show is taken as done after this time. */
const UNSEEN_REBOOT_MS = 600_000;
/**
 * A host that still answers as before is asked again to reboot after this time, well above the lag
 * of the list. It bounds how long a host waits whose controller was lost between start and reboot.
 */
const REBOOT_RETRY_MS = 60_000;

function withdraw(draft: PlanDraft, name: string): void {
  const phase = draft.find(name)?.state.phase;
  if (phase === 'granted') {
    draft.propose(name, { type: 'maintenance-withdraw', hosts: [], wave: '' });
  } else {
    draft.propose(name, { type: 'host-assign', hosts: [], pool: draft.find(name)?.state.pool });
  }
}

/** Takes back grants and releases of live hosts, latest first, until the budget holds again. */
function planWithdrawals(draft: PlanDraft, busy: readonly string[]): void {
  const latest = busy
    .flatMap((name) => {
      const state = draft.find(name)?.state;
      const isDraining = state?.phase === 'granted' || state?.phase === 'releasing';
      return isDraining && state.status === 'live' ? [{ name, state }] : [];
    })
    .sort((a, b) => b.state.phaseSince - a.state.phaseSince);
  latest.forEach(({ name, state }) => {
    const pool = draft.data.configuration.pool.get(state.pool ?? '')?.object;
    if (pool === undefined) return;
    if (draft.data.index.getLedger(pool.name).computeMargin(pool) < 0) withdraw(draft, name);
  });
}

/** Proposes the next step of a host that is out of service; the draft refuses what must wait. */
function planNextStep(draft: PlanDraft, name: string): void {
  const state = draft.find(name)?.state;
  if (state === undefined) return;
  if (state.phase === 'releasing') {
    const { toPool } = state;
    draft.propose(name, { type: 'host-assign', hosts: [], ...(toPool && { pool: toPool }) });
  } else if (state.phase === 'granted') {
    draft.propose(name, { type: 'maintenance-start', hosts: [], wave: state.wave ?? '' });
  } else if (state.phase === 'maintenance' && state.status === 'live') {
    const isBack = state.statusSince > state.phaseSince;
    if (!isBack && draft.now - state.phaseSince < UNSEEN_REBOOT_MS) return;
    draft.propose(name, { type: 'maintenance-end', hosts: [], wave: state.wave ?? '' });
  }
}

/** Plans for the hosts that are out of service already. */
export function* planOngoing(draft: PlanDraft, { busy }: HostLists): Generator<undefined> {
  planWithdrawals(draft, busy);
  yield undefined;
  for (let at = 0; at < busy.length; at += 1) {
    planNextStep(draft, busy[at] as string);
    if (at % 200 === 199) yield undefined;
  }
}

/** Lists hosts whose maintenance has started but that were never seen to reboot. */
export function listUnrebooted(draft: PlanDraft, { busy }: HostLists): string[] {
  return busy.filter((name) => {
    const state = draft.find(name)?.state;
    if (state?.phase !== 'maintenance' || state.status !== 'live') return false;
    return state.statusSince <= state.phaseSince && draft.now - state.phaseSince >= REBOOT_RETRY_MS;
  });
}
