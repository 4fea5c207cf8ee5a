import { toRackKey } from '../rack/mod.js';
import type { ScheduledHost } from './ScheduledHost.js';

/**
 * Groups scheduled hosts by rack: racks with maintenance in progress first, then the other racks by
 * their earliest due host.
 *
 * When a rack is lost, it does not matter how many of its hosts were already out of service.
 * Finishing one rack therefore uses less of a budget that is guarded against rack loss than
 * starting another.
 */
export function sortByRack(
  scheduled: readonly ScheduledHost[],
  busyRacks: ReadonlySet<string>,
): ScheduledHost[] {
  const racks = new Map<string, ScheduledHost[]>();
  scheduled.forEach((entry) => {
    const key = toRackKey(entry.host);
    const rack = racks.get(key);
    if (rack) rack.push(entry);
    else racks.set(key, [entry]);
  });
  // Map iteration order is insertion order, so racks are ordered by their earliest due host.
  const entries = [...racks];
  const busy = entries.filter(([key]) => busyRacks.has(key));
  const others = entries.filter(([key]) => !busyRacks.has(key));
  return [...busy, ...others].flatMap(([, rack]) => rack);
}
