import { z } from 'zod';

/** Location of a finding. `line` and `column` are 1-based. */
export const Place = z.object({
  file: z.string().optional(),
  line: z.number().int().positive().optional(),
  column: z.number().int().positive().optional(),
  /** Path of the value in the document, for example `pools.2.headroom`. */
  path: z.string().default(''),
});
export type Place = z.infer<typeof Place>;

/** An error or a warning about an input. */
export const Finding = z.object({
  severity: z.enum(['error', 'warning']).default('error'),
  message: z.string(),
  place: Place,
});
export type Finding = z.infer<typeof Finding>;
