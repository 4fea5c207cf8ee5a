/** Hosts of a data centre by what speaks for or against a partition. */
export interface PartitionCounts {
  /** Hosts that answer, whatever they are used for. */
  live: number;
  /** Hosts that should answer: all but those in maintenance, which are away on purpose. */
  expected: number;
}

/** A data centre with one host only cannot tell a partition from a failed host. */
const MIN_EXPECTED = 2;

/**
 * Whether a partition of a data centre is suspected: none of its hosts answers although several
 * should.
 *
 * The fold applies this rule to its counters, and everything else asks the fold.
 *
 * @example
 * ```ts
 * isPartitionSuspected({ live: 0, expected: 8 }); // true
 * ```
 */
export function isPartitionSuspected({ live, expected }: PartitionCounts): boolean {
  return live === 0 && expected >= MIN_EXPECTED;
}
