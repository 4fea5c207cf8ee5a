import { toRackKey } from '../rack/mod.js';
import type { WaveTurn } from './ScheduledHost.js';

/**
 * Sorts turns rack by rack: racks that are being worked on first, then the rack that is due first.
 *
 * Two hosts of one rack out of service are no worse at the loss of that rack than one, so finishing
 * a rack uses less of a guarded budget than starting another.
 */
export function sortByRack(turns: readonly WaveTurn[], busyRacks: ReadonlySet<string>): WaveTurn[] {
  const racks = new Map<string, WaveTurn[]>();
  turns.forEach((turn) => {
    const key = toRackKey(turn.host);
    const rack = racks.get(key);
    if (rack) rack.push(turn);
    else racks.set(key, [turn]);
  });
  // The map keeps the order of the first turn of each rack, which is the oldest.
  const entries = [...racks];
  const busy = entries.filter(([key]) => busyRacks.has(key));
  const others = entries.filter(([key]) => !busyRacks.has(key));
  return [...busy, ...others].flatMap(([, rack]) => rack);
}
