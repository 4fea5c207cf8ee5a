import { z } from 'zod';
import { Urgency } from '../job/mod.js';

/** Header of a forwarded request; only the peer port reads it, and the callers' port strips it. */
export const FORWARDED_JOB_HEADER = 'buckthornreach-forwarded-job';

/** What a gateway tells another of a job that it forwards. Carried URI-encoded in one header. */
export const ForwardedJob = z.object({
  id: z.string(),
  service: z.string(),
  team: z.string(),
  urgency: Urgency,
  idempotent: z.boolean(),
  key: z.string().optional(),
  /** Time left to the job's deadline; the processes share no monotonic clock. */
  remainingMs: z.number(),
});
export type ForwardedJob = z.infer<typeof ForwardedJob>;
