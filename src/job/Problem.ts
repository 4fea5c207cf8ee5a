import { z } from 'zod';
import { Outcome } from './Job.js';

/** An error answer in the form of RFC 9457 with the outcome of the job. */
export const Problem = z.object({
  type: z.string().default('about:blank'),
  title: z.string(),
  status: z.number().int(),
  detail: z.string().optional(),
  outcome: Outcome,
  /** The header or field of the request that was at fault. */
  field: z.string().optional(),
  requestId: z.string().optional(),
  /** When a new try may succeed, in seconds. */
  retryAfterSeconds: z.number().optional(),
});
export type Problem = z.infer<typeof Problem>;
