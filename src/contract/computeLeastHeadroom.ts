import type { Pool } from '../pool/mod.js';

/** A host in maintenance at a time. */
const IN_MAINTENANCE = 1;

/**
 * Computes the least headroom with which a pool covers its need while one host is in maintenance
 * and, with the guard, one rack is lost, if its hosts are spread evenly.
 *
 * @param racks Racks that have hosts for the pool.
 * @example
 * ```ts
 * computeLeastHeadroom({ need: 6, guardRackLoss: true }, 10); // 2
 * ```
 */
export function computeLeastHeadroom(
  { need, guardRackLoss }: Pick<Pool, 'need' | 'guardRackLoss'>,
  racks: number,
): number {
  if (!guardRackLoss || racks === 0) return IN_MAINTENANCE;
  let headroom = IN_MAINTENANCE + 1;
  while (IN_MAINTENANCE + Math.ceil((need + headroom) / racks) > headroom) {
    // With a single rack no headroom is enough.
    if (headroom > need + IN_MAINTENANCE) return headroom;
    headroom += 1;
  }
  return headroom;
}
