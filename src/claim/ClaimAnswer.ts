import { z } from 'zod';
import { Address } from '../host/mod.js';

/** Whether a job may be sent to an upstream host by this gateway. */
export const ClaimAnswer = z.discriminatedUnion('verdict', [
  /** The job needs no claim or its claim is recorded: it may be sent once. */
  z.object({
    verdict: z.literal('granted'),
    /**
     * Monotonic time in milliseconds after which the job must not be sent any more: after a pause of
     * the process the claim may belong to a session that has lost its lease.
     */
    validUntil: z.number().optional(),
  }),
  /** The job must not be sent; `outcome` is what the caller may be told of its key. */
  z.object({
    verdict: z.literal('refused'),
    outcome: z.enum(['ran', 'not-run', 'unknown']),
    status: z.number().int(),
    reason: z.string(),
    retryAfterSeconds: z.number().optional(),
  }),
  /** Another gateway owns the key; the request is forwarded to its peer address. */
  z.object({ verdict: z.literal('forward'), peerAddress: Address, session: z.string() }),
]);
export type ClaimAnswer = z.infer<typeof ClaimAnswer>;
