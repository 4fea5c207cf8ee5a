/** Host counts of a data centre from which a network partition is detected. */
export interface PartitionCounts {
  /** Hosts whose status is `live`, whatever their phase. */
  live: number;
  /** Hosts that should be live: all except those in maintenance, which are down intentionally. */
  expected: number;
}

/** With a single expected host, a partition cannot be distinguished from a host failure. */
const MIN_EXPECTED_HOSTS = 2;

/**
 * Returns whether a data centre is suspected to be partitioned: none of its hosts is live, although
 * at least two should be.
 *
 * Only the fleet state evaluates this rule, on its counters. All other code queries the fleet
 * state.
 *
 * @example
 * ```ts
 * isPartitionSuspected({ live: 0, expected: 8 }); // true
 * ```
 */
export function isPartitionSuspected({ live, expected }: PartitionCounts): boolean {
  return live === 0 && expected >= MIN_EXPECTED_HOSTS;
}
