/**
 * Computes how many hosts of a pool one rack holds at least when the pool is spread as evenly as its
 * racks allow.
 *
 * @param hosts Hosts of the pool.
 * @param racks Hosts in each rack that the pool could use; together at least `hosts`.
 * @example
 * ```ts
 * computeRackShare(5, [4, 1, 1]); // 3: two racks have only one host
 * ```
 */
export function computeRackShare(hosts: number, racks: readonly number[]): number {
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
