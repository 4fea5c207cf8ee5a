import { z } from 'zod';

/** When an accepted change was appended (platform clock) and folded (clock of the process). */
export const FoldedChange = z.object({ appendedAt: z.number(), foldedAt: z.number() });
export type FoldedChange = z.infer<typeof FoldedChange>;

/** The revision of which a process is asked when it folded it. */
export const AskedRevision = z
  .object({ revision: z.number().int().nonnegative().optional() })
  .optional();

/** What a process of the system answers when asked how it fares. Times are in milliseconds. */
export const ProcessStatus = z.object({
  session: z.string(),
  role: z.enum(['gateway', 'controller']),
  dataCentre: z.string(),
  readiness: z.enum(['not-ready', 'ready', 'stale']),
  /** Why it is not ready; empty when it is. */
  reason: z.string(),
  nextOffset: z.number().int(),
  revision: z.number().int(),
  /** Unreadable entries that it skipped. */
  broken: z.number().int(),
  contactAgeMs: z.number().optional(),
  sources: z.array(z.object({ source: z.string(), reachable: z.boolean(), fault: z.string() })),
  /** The change of the revision asked for, if the process folded it. */
  change: FoldedChange.optional(),
});
export type ProcessStatus = z.infer<typeof ProcessStatus>;
