import type { MaintenanceSchedule } from '../pool/mod.js';
import { toRackKey } from '../rack/mod.js';
import { computeDueTime } from './computeDueTime.js';
import type { WaveMember, WaveTurn } from './WaveTurn.js';

const DAY_MS = 86_400_000;
/** Hosts are started this part of the period before they are due, so that delays can be caught up. */
const LEAD = 0.05;
function compareTurns(a: WaveTurn, b: WaveTurn): number {
  if (a.dueAt !== b.dueAt) return a.dueAt - b.dueAt;
  const rackA = toRackKey(a.host);
  const rackB = toRackKey(b.host);
  if (rackA !== rackB) return rackA < rackB ? -1 : 1;
  return a.host.name < b.host.name ? -1 : 1;
}

/**
 * Schedules the members of a pool, oldest maintenance first.
 *
 * Hosts that became due together are spread over their period: going back from the last host, each
 * one starts early enough for all hosts after it to follow at the rate of one pool per period. The
 * lead closes up the spacing, so the first of them starts at once.
 *
 * @example
 * ```ts
 * scheduleWave('match', members, pool.maintenance).filter((turn) => turn.startAt <= now);
 * ```
 */
export function scheduleWave(
  pool: string,
  members: readonly WaveMember[],
  terms: MaintenanceSchedule,
): WaveTurn[] {
  const periodMs = terms.periodDays * DAY_MS;
  const intervalMs = ((1 - LEAD) * periodMs) / Math.max(1, members.length);
  const turns = members
    .map((member): WaveTurn => {
      const dueAt = computeDueTime(member.state, terms);
      const wave = `${pool}/${new Date(dueAt).toISOString().slice(0, 16)}`;
      return { ...member, dueAt, startAt: dueAt, wave };
    })
    .sort(compareTurns);
  let next = Infinity;
  for (let at = turns.length - 1; at >= 0; at -= 1) {
    const turn = turns[at] as WaveTurn;
    next = Math.min(turn.dueAt - LEAD * periodMs, next - intervalMs);
    turn.startAt = next;
  }
  return turns;
}
