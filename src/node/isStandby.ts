/** Number of nodes that follow the work log closely, so that each of them can take over at once. */
const STANDBY_COUNT = 8;

/** Share of a node, by which standbys are chosen. */
export interface StandbyCandidate {
  name: string;
  /** Processor share in cores. */
  cores: number;
}

/**
 * Checks whether a node is a standby: one of the fastest nodes, and among equally fast ones one of
 * the first by name.
 *
 * Every node follows the work log, but a node that is not a standby reads it seldom, and whenever a
 * caller asks for a job. Its cost then depends on its callers and not on the number of nodes.
 *
 * @param candidate The node itself.
 * @param others The other registered nodes.
 * @example
 * ```ts
 * isStandby({ name: 'n-1', cores: 1 }, [{ name: 'n-2', cores: 0.5 }]); // true
 * ```
 */
export function isStandby(
  { name, cores }: StandbyCandidate,
  others: Iterable<StandbyCandidate>,
): boolean {
  let before = 0;
  for (const other of others) {
    const isFaster = other.cores > cores || (other.cores === cores && other.name < name);
    if (other.name !== name && isFaster) before += 1;
  }
  return before < STANDBY_COUNT;
}
