import { z } from 'zod';

/** Where a finding was made. `line` and `column` count from 1. */
export const Place = z.object({
  file: z.string().optional(),
  line: z.number().int().positive().optional(),
  column: z.number().int().positive().optional(),
  /** Path inside the document, for example `pools.2.headroom`. */
  path: z.string().default(''),
});
export type Place = z.infer<typeof Place>;

/** One thing that is wrong or notable in an input. */
export const Finding = z.object({
  severity: z.enum(['error', 'warning']).default('error'),
  message: z.string(),
  place: Place,
});
export type Finding = z.infer<typeof Finding>;
