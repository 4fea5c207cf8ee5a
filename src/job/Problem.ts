import { z } from 'zod';
import { Outcome } from './Job.js';

/** RFC 9457 problem details, extended with the outcome of the job. */
export const Problem = z.object({
  type: z.string().default('about:blank'),
  title: z.string(),
  status: z.number().int(),
  detail: z.string().optional(),
  outcome: Outcome,
  /** Request header or field that caused the error. */
  field: z.string().optional(),
  requestId: z.string().optional(),
  /** Delay in seconds after which a retry may succeed. */
  retryAfterSeconds: z.number().optional(),
});
export type Problem = z.infer<typeof Problem>;
