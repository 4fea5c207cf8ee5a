import { z } from 'zod';

/** Limits of the store on one append, in bytes. */
export const StoreLimits = z.object({
  /** Maximum size of a record, with its key. */
  recordBytes: z.number().int().positive().default(262_144),
  /** Maximum size of all records of an append. */
  requestBytes: z.number().int().positive().default(2_097_152),
});
export type StoreLimits = z.infer<typeof StoreLimits>;
