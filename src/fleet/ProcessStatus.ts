import { z } from 'zod';

/**
 * When an accepted change was appended, by the platform's clock, and when the process applied it,
 * by its own clock. Times are in milliseconds.
 */
export const AppliedChange = z.object({ appendedAt: z.number(), foldedAt: z.number() });
export type AppliedChange = z.infer<typeof AppliedChange>;

/** Optional revision for which a process reports when it applied the change. */
export const ProcessStatusQuery = z
  .object({ revision: z.number().int().nonnegative().optional() })
  .optional();

/** Status that a gateway or controller process reports. Times are in milliseconds. */
export const ProcessStatus = z.object({
  session: z.string(),
  role: z.enum(['gateway', 'controller']),
  dataCentre: z.string(),
  readiness: z.enum(['not-ready', 'ready', 'stale']),
  /** Why the process is not ready; empty when it is ready. */
  reason: z.string(),
  nextOffset: z.number().int(),
  revision: z.number().int(),
  /** Number of unreadable entries that the process skipped. */
  broken: z.number().int(),
  contactAgeMs: z.number().optional(),
  sources: z.array(z.object({ source: z.string(), reachable: z.boolean(), fault: z.string() })),
  /** The change of the requested revision, if the process has applied it. */
  change: AppliedChange.optional(),
});
export type ProcessStatus = z.infer<typeof ProcessStatus>;
