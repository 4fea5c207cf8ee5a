import { z } from 'zod';

/** Asks a member of the view to record claims before anything is sent to an upstream host. */
export const ClaimRequest = z.object({
  /** The session that claims. */
  owner: z.string(),
  /** The session asked; an address may since belong to another. */
  member: z.string(),
  /** Number of the claimant's view. */
  view: z.number().int(),
  keys: z.array(z.uuidv7()).max(256),
});
export type ClaimRequest = z.infer<typeof ClaimRequest>;

/** A member's answer about one key. */
export const MemberAnswer = z.discriminatedUnion('verdict', [
  /** Recorded. `isCovered`: an earlier claim of the key would have been known to the member. */
  z.object({ verdict: z.literal('recorded'), isCovered: z.boolean() }),
  z.object({ verdict: z.literal('claimed'), outcome: z.enum(['ran', 'unknown']) }),
  z.object({ verdict: z.literal('refused'), reason: z.string() }),
]);
export type MemberAnswer = z.infer<typeof MemberAnswer>;
