import type { Finding } from '../finding/mod.js';
import type { Pool } from '../pool/mod.js';
import type { LocatedObject } from './LocatedObject.js';

function checkPool({ object, locate }: LocatedObject<Pool>): Finding[] {
  const size = object.need + object.headroom;
  const findings: Finding[] = [];
  if (object.availabilityBudget > size) {
    const message = `${object.availabilityBudget} is above need + headroom = ${size}`;
    findings.push({ severity: 'error', message, place: locate('availabilityBudget') });
  }
  object.maintenance.windows.forEach(({ from, to }, index) => {
    if (to > from) return;
    const message = `the window ends at ${to}, not after its start at ${from}`;
    const place = locate('maintenance', 'windows', index, 'to');
    findings.push({ severity: 'error', message, place });
  });
  return findings;
}

/** Reports pool rules that contradict each other. */
export function checkPools(pools: readonly LocatedObject<Pool>[]): Finding[] {
  return pools.flatMap(checkPool);
}
