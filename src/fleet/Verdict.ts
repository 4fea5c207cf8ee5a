/**
 * What the fold did with a record. `ignored` lists the entries of a report (`host-observed`,
 * `host-drained`) that said nothing about the present state; decisions are whole or nothing.
 */
export type Verdict =
  | { outcome: 'accepted'; ignored?: string[] }
  | { outcome: 'duplicate' }
  | { outcome: 'rejected'; reasons: string[] };

/** The verdict on a record that took effect. */
export const ACCEPTED: Verdict = { outcome: 'accepted' };

/** The verdict on a record whose condition did not hold. */
export function reject(...reasons: string[]): Verdict {
  return { outcome: 'rejected', reasons };
}
