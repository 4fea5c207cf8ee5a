import { z } from 'zod';
import { Urgency } from '../job/mod.js';

/** Header of a forwarded request. Only the peer port reads it; the port for callers strips it. */
export const FORWARDED_JOB_HEADER = 'buckthornreach-forwarded-job';

/** Describes a forwarded job to the gateway that receives it. URI-encoded in one header. */
export const ForwardedJob = z.object({
  id: z.string(),
  service: z.string(),
  team: z.string(),
  urgency: Urgency,
  idempotent: z.boolean(),
  key: z.string().optional(),
  /** Time to the job's deadline. It is relative because processes share no monotonic clock. */
  remainingMs: z.number(),
});
export type ForwardedJob = z.infer<typeof ForwardedJob>;
