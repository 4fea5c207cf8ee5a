/**
 * The result of applying a record. `ignored` lists the entries of a report (`host-observed`,
 * `host-drained` or `pool-demand`) that did not apply to the current state. Decisions are applied
 * atomically.
 */
export type Verdict =
  | { outcome: 'accepted'; ignored?: string[] }
  | { outcome: 'duplicate' }
  | { outcome: 'rejected'; reasons: string[] };

/** The verdict on a record that was applied in full. */
export const ACCEPTED: Verdict = { outcome: 'accepted' };

/** Returns the verdict on a record whose preconditions did not hold. */
export function reject(...reasons: string[]): Verdict {
  return { outcome: 'rejected', reasons };
}
