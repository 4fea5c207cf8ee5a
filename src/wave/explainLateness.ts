import type { HostState } from '../host/mod.js';
import type { MaintenanceSchedule } from '../pool/mod.js';
import { isWindowOpen } from './isWindowOpen.js';

/** What the reason for the lateness of a host depends on. */
export interface LatenessFacts {
  state: HostState;
  terms: MaintenanceSchedule;
  now: number;
  /** Hosts that the pool may still lose; taking one more needs at least 1. */
  margin: number;
  isPartitionSuspected: boolean;
  /** Sessions that have not reported the host drained. */
  undrainedSessions: readonly string[];
}

/** Explains why a host that is due has not been maintained yet. */
export function explainLateness(facts: LatenessFacts): string {
  const { state, margin, undrainedSessions } = facts;
  if (facts.isPartitionSuspected) return 'its data centre has disappeared from the host list';
  if (state.phase === 'maintenance') {
    return state.status === 'live' ? 'its maintenance runs' : 'it has not come back from a reboot';
  }
  if (state.phase === 'releasing') return 'it is on its way out of the pool';
  if (state.phase === 'granted') {
    return undrainedSessions.length > 0
      ? `it waits for sessions ${undrainedSessions.join(', ')} to drain it`
      : 'it is drained and waits to be started';
  }
  if (state.status === 'leaving') return 'the platform is taking it away';
  if (!isWindowOpen(facts.terms, facts.now)) return 'no maintenance window is open';
  if (state.status === 'live' && margin <= 0) {
    return `the availability budget of its pool leaves no room (margin ${margin})`;
  }
  return 'it waits for its turn';
}
