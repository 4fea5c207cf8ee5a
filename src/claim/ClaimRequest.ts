import { z } from 'zod';

/** Asks a member of the view to record claims before their jobs are sent to an upstream host. */
export const ClaimRequest = z.object({
  /** The session that makes the claims. */
  owner: z.string(),
  /** The session that is asked. Its address may meanwhile belong to a different session. */
  member: z.string(),
  /** Number of the claimant's view. */
  view: z.number().int(),
  keys: z.array(z.uuidv7()).max(256),
});
export type ClaimRequest = z.infer<typeof ClaimRequest>;

/** A member's answer for one key. */
export const MemberAnswer = z.discriminatedUnion('verdict', [
  /** `isCovered`: the member would have known any earlier claim of the key. */
  z.object({ verdict: z.literal('recorded'), isCovered: z.boolean() }),
  z.object({ verdict: z.literal('claimed'), outcome: z.enum(['ran', 'unknown']) }),
  z.object({ verdict: z.literal('refused'), reason: z.string() }),
]);
export type MemberAnswer = z.infer<typeof MemberAnswer>;
