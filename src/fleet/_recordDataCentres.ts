import type { FleetData } from './_FleetData.js';
import { CLOCK_SKEW_MS, KEY_MAX_AGE_MS } from './sessionTimes.js';

/**
 * Records the set of configured data centres if it has changed. The first set applies to all keys.
 * A later set applies to keys created at least 24 h after its record, so that gateways with an
 * older state use the same set.
 */
export function recordDataCentres(data: FleetData, time: number): void {
  const sets = data.dataCentreSets;
  const names = data.listObjects('dataCentre').map((one) => one.name);
  if (names.join() === (sets.at(-1)?.names ?? []).join()) return;
  sets.push({ inForceFrom: sets.length === 0 ? 0 : time + KEY_MAX_AGE_MS, names });
  // Drops the sets that are not needed even for the oldest key that a gateway accepts.
  const oldestKey = time - KEY_MAX_AGE_MS - 2 * CLOCK_SKEW_MS;
  while ((sets[1]?.inForceFrom ?? Infinity) <= oldestKey) sets.shift();
}
