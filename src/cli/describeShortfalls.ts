import type { FleetSummary } from '../fleet/mod.js';

/**
 * Describes the hosts that the rules require beyond the inventory, one line per pool.
 *
 * @example
 * ```ts
 * describeShortfalls(summary); // ['shortfall: match asks for 8 hosts, 2 more than ...']
 * ```
 */
export function describeShortfalls({ pools }: FleetSummary): string[] {
  return pools
    .filter(({ shortfall }) => shortfall > 0)
    .map(
      ({ pool, target, shortfall }) =>
        `shortfall: ${pool} asks for ${target} hosts, ${shortfall} more than the inventory can give it`,
    );
}
