import type { PlanDraft } from './_PlanDraft.js';
import type { HostLists } from './_HostLists.js';

/** A reboot that did not show in the host list is assumed to be complete after this time. */
const REBOOT_ASSUMED_AFTER_MS = 600_000;
/**
 * The reboot of a host that is still live is requested again after this time, which is well above
 * the lag of the host list. It bounds the delay when a controller fails between starting the
 * maintenance and requesting the reboot.
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

/** Withdraws grants and releases of live hosts, latest first, until the budget is met again. */
function planWithdrawals(draft: PlanDraft, busy: readonly string[]): void {
  const latestFirst = busy
    .flatMap((name) => {
      const state = draft.find(name)?.state;
      const isDraining = state?.phase === 'granted' || state?.phase === 'releasing';
      return isDraining && state.status === 'live' ? [{ name, state }] : [];
    })
    .sort((a, b) => b.state.phaseSince - a.state.phaseSince);
  latestFirst.forEach(({ name, state }) => {
    const pool = draft.data.configuration.pool.get(state.pool ?? '')?.object;
    if (pool === undefined) return;
    if (draft.data.index.getLedger(pool.name).computeMargin(pool) < 0) withdraw(draft, name);
  });
}

/** Proposes the next step of a host that is not serving. The draft rejects steps that must wait. */
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
    if (!isBack && draft.now - state.phaseSince < REBOOT_ASSUMED_AFTER_MS) return;
    draft.propose(name, { type: 'maintenance-end', hosts: [], wave: state.wave ?? '' });
  }
}

/** Plans the next steps of the hosts that are already draining or in maintenance. */
export function* planTransitions(draft: PlanDraft, { busy }: HostLists): Generator<undefined> {
  planWithdrawals(draft, busy);
  yield undefined;
  for (let at = 0; at < busy.length; at += 1) {
    planNextStep(draft, busy[at] as string);
    if (at % 200 === 199) yield undefined;
  }
}

/** Lists the hosts in maintenance whose reboot has to be requested again. */
export function listPendingReboots(draft: PlanDraft, { busy }: HostLists): string[] {
  return busy.filter((name) => {
    const state = draft.find(name)?.state;
    if (state?.phase !== 'maintenance' || state.status !== 'live') return false;
    return state.statusSince <= state.phaseSince && draft.now - state.phaseSince >= REBOOT_RETRY_MS;
  });
}
