import type { MaintenanceSchedule } from '../pool/mod.js';
import { toRackKey } from '../rack/mod.js';
import { computeDueTime } from './computeDueTime.js';
import type { PoolMember, ScheduledHost } from './ScheduledHost.js';

const DAY_MS = 86_400_000;
/** Fraction of the period by which hosts start before they are due, to absorb delays. */
const LEAD_FRACTION = 0.05;
function compareScheduledHosts(a: ScheduledHost, b: ScheduledHost): number {
  if (a.dueAt !== b.dueAt) return a.dueAt - b.dueAt;
  const rackA = toRackKey(a.host);
  const rackB = toRackKey(b.host);
  if (rackA !== rackB) return rackA < rackB ? -1 : 1;
  return a.host.name < b.host.name ? -1 : 1;
}

/**
 * Schedules the maintenance of the members of a pool, earliest due time first.
 *
 * Hosts that become due together are spread over the period. Start times are computed backwards
 * from the last host: each host starts early enough for all later hosts to follow at a rate of one
 * pool per period. The interval between starts is shortened by the lead, so that the first of the
 * hosts that became due together starts immediately.
 *
 * @example
 * ```ts
 * scheduleWave('match', members, pool.maintenance).filter((host) => host.startAt <= now);
 * ```
 */
export function scheduleWave(
  pool: string,
  members: readonly PoolMember[],
  terms: MaintenanceSchedule,
): ScheduledHost[] {
  const periodMs = terms.periodDays * DAY_MS;
  const intervalMs = ((1 - LEAD_FRACTION) * periodMs) / Math.max(1, members.length);
  const scheduled = members
    .map((member): ScheduledHost => {
      const dueAt = computeDueTime(member.state, terms);
      const wave = `${pool}/${new Date(dueAt).toISOString().slice(0, 16)}`;
      return { ...member, dueAt, startAt: dueAt, wave };
    })
    .sort(compareScheduledHosts);
  let next = Infinity;
  for (let at = scheduled.length - 1; at >= 0; at -= 1) {
    const entry = scheduled[at] as ScheduledHost;
    next = Math.min(entry.dueAt - LEAD_FRACTION * periodMs, next - intervalMs);
    entry.startAt = next;
  }
  return scheduled;
}
