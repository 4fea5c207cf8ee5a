import { z } from 'zod';
import { Address } from '../host/mod.js';

/** The job must not be sent. `outcome` is what the caller may be told about runs with its key. */
const Refused = z.object({
  verdict: z.literal('refused'),
  outcome: z.enum(['ran', 'not-run', 'unknown']),
  status: z.number().int(),
  reason: z.string(),
  retryAfterSeconds: z.number().optional(),
});
export type ClaimRefusal = z.infer<typeof Refused>;

/** Another gateway owns the key; the request is forwarded to the peer port at `peerAddress`. */
const Forward = z.object({
  verdict: z.literal('forward'),
  peerAddress: Address,
  session: z.string(),
});

/** The gateway that must run a job, or the reason why none can. */
export const ClaimLocation = z.discriminatedUnion('verdict', [
  z.object({ verdict: z.literal('here') }),
  Refused,
  Forward,
]);
export type ClaimLocation = z.infer<typeof ClaimLocation>;

/** The decision whether this gateway may send a job to an upstream host. */
export const ClaimAnswer = z.discriminatedUnion('verdict', [
  /** The job may be sent once: it needs no claim, or its claim is recorded. */
  z.object({
    verdict: z.literal('granted'),
    /**
     * Monotonic time in milliseconds after which the job must not be sent. If the process was
     * paused, the session that made the claim may have lost its lease in the meantime.
     */
    validUntil: z.number().optional(),
  }),
  Refused,
  Forward,
]);
export type ClaimAnswer = z.infer<typeof ClaimAnswer>;
