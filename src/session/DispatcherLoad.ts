import { z } from 'zod';

/**
 * What a dispatcher reports after each view that it has put in force, and when a report would differ
 * from the last one.
 */
export const DispatcherLoad = z.object({
  service: z.string(),
  /** `nextOffset` of the view in force. */
  nextOffset: z.number().int(),
  /** Hosts that get no new work in that view and still have work in flight. */
  leaving: z.array(z.string()),
  /** Whether more work is in flight on some host than this gateway's share of it in that view. */
  isAboveShare: z.boolean(),
});
export type DispatcherLoad = z.infer<typeof DispatcherLoad>;
