/** What the fold did with a record. */
export type Verdict =
  { outcome: 'accepted' } | { outcome: 'duplicate' } | { outcome: 'rejected'; reasons: string[] };

/** The verdict on a record that took effect. */
export const ACCEPTED: Verdict = { outcome: 'accepted' };

/** The verdict on a record whose condition did not hold. */
export function reject(...reasons: string[]): Verdict {
  return { outcome: 'rejected', reasons };
}
