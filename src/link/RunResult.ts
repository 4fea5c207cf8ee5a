import { z } from 'zod';

/**
 * How a run on an upstream host ended. `answered`: the complete response was passed on. `withheld`:
 * the host responded with a server error that was not passed on, because the job may be retried.
 * `refused`: no connection could be opened. `busy`: the share of connections was used up, or the
 * send deadline had passed. `invalid`: the caller's request cannot be encoded as HTTP.
 */
export const RunEnd = z.enum([
  'answered',
  'withheld',
  'refused',
  'busy',
  'invalid',
  'failed',
  'timeout',
  'abandoned',
]);
export type RunEnd = z.infer<typeof RunEnd>;

/** The result of a run on an upstream host. */
export const RunResult = z.object({
  host: z.string(),
  end: RunEnd,
  /** False only if no byte of the request can have left this process. */
  sent: z.boolean(),
  /** Whether the caller may have received a part of the response. */
  begun: z.boolean(),
  status: z.number().int().optional(),
  /** Whether the host announced that it is leaving, by status 503 with `Connection: close`. */
  leaving: z.boolean(),
  runMs: z.number(),
  message: z.string().optional(),
});
export type RunResult = z.infer<typeof RunResult>;
