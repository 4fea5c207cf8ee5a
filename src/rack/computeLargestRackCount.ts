/**
 * Computes the number of hosts in the fullest rack of a pool that is spread as evenly as its racks
 * allow.
 *
 * @param hosts Number of hosts of the pool.
 * @param racks Number of usable hosts in each rack; the sum must be at least `hosts`.
 * @example
 * ```ts
 * computeLargestRackCount(5, [4, 1, 1]); // 3: two racks have only one host each
 * ```
 */
export function computeLargestRackCount(hosts: number, racks: readonly number[]): number {
  let share = 0;
  let placed = 0;
  const largest = Math.max(0, ...racks);
  while (placed < hosts && share < largest) {
    share += 1;
    const level = share;
    placed += racks.filter((count) => count >= level).length;
  }
  return share;
}
