import type { Pool } from '../pool/mod.js';

/** Number of hosts that are in maintenance at the same time. */
const HOSTS_IN_MAINTENANCE = 1;

/**
 * Computes the minimum headroom with which a pool still covers its need while one host is in
 * maintenance and, if the pool is guarded against rack loss, one rack fails. Assumes that the hosts
 * are spread evenly over the racks.
 *
 * @param racks Number of racks with hosts for the pool.
 * @example
 * ```ts
 * computeMinimumHeadroom({ need: 6, guardRackLoss: true }, 10); // 2
 * ```
 */
export function computeMinimumHeadroom(
  { need, guardRackLoss }: Pick<Pool, 'need' | 'guardRackLoss'>,
  racks: number,
): number {
  if (!guardRackLoss || racks === 0) return HOSTS_IN_MAINTENANCE;
  let headroom = HOSTS_IN_MAINTENANCE + 1;
  while (HOSTS_IN_MAINTENANCE + Math.ceil((need + headroom) / racks) > headroom) {
    // With a single rack, no headroom is sufficient.
    if (headroom > need + HOSTS_IN_MAINTENANCE) return headroom;
    headroom += 1;
  }
  return headroom;
}
