import { z } from 'zod';
import { RecordEnvelope } from '../record/mod.js';

/** What a process answers to a follower that reads its records. */
export const SinceAnswer = z.object({
  fromOffset: z.number().int().nonnegative(),
  records: z.array(RecordEnvelope.extend({ offset: z.number().int(), time: z.number() })),
  nextOffset: z.number().int().nonnegative(),
  broken: z.number().int().nonnegative(),
  isComplete: z.boolean(),
  contactAgeMs: z.number().nonnegative(),
  /** The records from the offset are no longer kept; the follower starts from a snapshot. */
  expired: z.boolean(),
  /** Whether the process has a state that can be followed. */
  isReady: z.boolean(),
});
export type SinceAnswer = z.infer<typeof SinceAnswer>;
