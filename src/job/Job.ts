import { z } from 'zod';

/** How urgent a job is; the first is the most urgent. */
export const Urgency = z.enum(['urgent', 'normal', 'batch']);
export type Urgency = z.infer<typeof Urgency>;

/** What became of a job. `unknown` means that it may or may not have run. */
export const Outcome = z.enum(['ran', 'not-run', 'unknown']);
export type Outcome = z.infer<typeof Outcome>;

/** A caller's request as the decisions see it. Times are monotonic milliseconds. */
export const Job = z.object({
  /** Request id, unique over all processes. */
  id: z.string(),
  service: z.string(),
  team: z.string(),
  urgency: Urgency,
  idempotent: z.boolean(),
  /** The caller's idempotency key, if any. */
  key: z.string().optional(),
  /** Whether another gateway forwarded it; it is then not forwarded again. */
  forwarded: z.boolean().optional(),
  arrivedAt: z.number(),
  deadline: z.number(),
});
export type Job = z.infer<typeof Job>;
