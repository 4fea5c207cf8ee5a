import type { HostState } from '../host/mod.js';
import type { MaintenanceSchedule } from '../pool/mod.js';
import { isWindowOpen } from './isWindowOpen.js';

/** Inputs for explaining why the maintenance of a host is late. */
export interface LatenessContext {
  state: HostState;
  terms: MaintenanceSchedule;
  now: number;
  /** Hosts that may still become unavailable in the pool; starting one more needs at least 1. */
  margin: number;
  isPartitionSuspected: boolean;
  /** Gateway sessions that have not reported the host as drained. */
  undrainedSessions: readonly string[];
}

/** Explains to operators why an overdue host has not been maintained yet. */
export function explainLateness(context: LatenessContext): string {
  const { state, margin, undrainedSessions } = context;
  if (context.isPartitionSuspected) return 'its data centre is suspected to be partitioned';
  if (state.phase === 'maintenance') {
    return state.status === 'live'
      ? 'its maintenance is in progress'
      : 'it has not come back from its reboot';
  }
  if (state.phase === 'releasing') return 'it is being released from its pool';
  if (state.phase === 'granted') {
    return undrainedSessions.length > 0
      ? `it is waiting for sessions ${undrainedSessions.join(', ')} to drain it`
      : 'it is drained and waiting for its maintenance to start';
  }
  if (state.status === 'leaving') return 'the platform is removing it';
  if (!isWindowOpen(context.terms, context.now)) return 'no maintenance window is open';
  if (state.status === 'live' && margin <= 0) {
    return `the availability budget of its pool is used up (margin ${margin})`;
  }
  return 'it is waiting for its turn in the wave';
}
