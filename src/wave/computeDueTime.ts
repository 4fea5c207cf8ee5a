import type { HostState } from '../host/mod.js';
import type { MaintenanceSchedule } from '../pool/mod.js';

const DAY_MS = 86_400_000;

/** Computes the end of a host's maintenance period, in milliseconds since the Unix epoch. */
export function computeDueTime(state: HostState, terms: MaintenanceSchedule): number {
  return state.maintainedAt + terms.periodDays * DAY_MS;
}
