import { z } from 'zod';
import { Address } from '../host/mod.js';

/** The job must not be sent; `outcome` is what the caller may be told of its key. */
const Refused = z.object({
  verdict: z.literal('refused'),
  outcome: z.enum(['ran', 'not-run', 'unknown']),
  status: z.number().int(),
  reason: z.string(),
  retryAfterSeconds: z.number().optional(),
});
export type ClaimRefusal = z.infer<typeof Refused>;

/** Another gateway owns the key; the request is forwarded to its peer address. */
const Forward = z.object({
  verdict: z.literal('forward'),
  peerAddress: Address,
  session: z.string(),
});

/** Which gateway has to run a job. */
export const ClaimLocation = z.discriminatedUnion('verdict', [
  z.object({ verdict: z.literal('here') }),
  Refused,
  Forward,
]);
export type ClaimLocation = z.infer<typeof ClaimLocation>;

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
  Refused,
  Forward,
]);
export type ClaimAnswer = z.infer<typeof ClaimAnswer>;
