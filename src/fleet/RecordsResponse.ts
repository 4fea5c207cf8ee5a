import { z } from 'zod';
import { RecordEnvelope } from '../record/mod.js';

/** Response of a process to a follower that polls it for records. */
export const RecordsResponse = z.object({
  fromOffset: z.number().int().nonnegative(),
  records: z.array(RecordEnvelope.extend({ offset: z.number().int(), time: z.number() })),
  nextOffset: z.number().int().nonnegative(),
  broken: z.number().int().nonnegative(),
  isComplete: z.boolean(),
  contactAgeMs: z.number().nonnegative(),
  /** Records from the offset on are no longer retained; the follower must load a snapshot. */
  expired: z.boolean(),
  /** Whether the process has a state that followers can use. */
  isReady: z.boolean(),
});
export type RecordsResponse = z.infer<typeof RecordsResponse>;
