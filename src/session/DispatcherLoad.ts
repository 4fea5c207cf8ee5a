import { z } from 'zod';

/**
 * A dispatcher's report on its work in flight, sent after it has applied a new view and whenever
 * the report differs from the last one.
 */
export const DispatcherLoad = z.object({
  service: z.string(),
  /** `nextOffset` of the view that the dispatcher has applied. */
  nextOffset: z.number().int(),
  /** Hosts that get no new work in that view but still have work in flight. */
  leaving: z.array(z.string()),
  /** Whether any host has more work in flight than this gateway's share of it in that view. */
  isAboveShare: z.boolean(),
});
export type DispatcherLoad = z.infer<typeof DispatcherLoad>;
