import { z } from 'zod';

/** Urgency class of a job, most urgent first. */
export const Urgency = z.enum(['urgent', 'normal', 'batch']);
export type Urgency = z.infer<typeof Urgency>;

/** Outcome of a job. `unknown` means that it may or may not have run. */
export const Outcome = z.enum(['ran', 'not-run', 'unknown']);
export type Outcome = z.infer<typeof Outcome>;

/** A caller's request, as used by admission and dispatch. Times are monotonic milliseconds. */
export const Job = z.object({
  /** Request id, unique across all processes. */
  id: z.string(),
  service: z.string(),
  team: z.string(),
  urgency: Urgency,
  idempotent: z.boolean(),
  /** Idempotency key sent by the caller, if any. */
  key: z.string().optional(),
  /** Set when another gateway forwarded the request; it is then not forwarded a second time. */
  forwarded: z.boolean().optional(),
  arrivedAt: z.number(),
  deadline: z.number(),
});
export type Job = z.infer<typeof Job>;
