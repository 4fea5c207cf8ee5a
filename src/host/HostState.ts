import { z } from 'zod';

/** Liveness of a host, derived from the host list of the platform and the reports of gateways. */
export const HostStatus = z.enum(['live', 'leaving', 'failed']);
export type HostStatus = z.infer<typeof HostStatus>;

/**
 * Lifecycle phase of a host. A `releasing` or `granted` host is draining and still belongs to its
 * pool. A host in `maintenance` also belongs to its pool and returns to service there.
 */
export const HostPhase = z.enum(['unassigned', 'serving', 'releasing', 'granted', 'maintenance']);
export type HostPhase = z.infer<typeof HostPhase>;

/** The state of one host, derived from the log. Times are in platform time, in milliseconds. */
export const HostState = z.object({
  status: HostStatus,
  phase: HostPhase,
  /** Whether gateways reported that its jobs fail, which the host list does not show. */
  isFaulty: z.literal(true).optional(),
  /** Pool to which the host belongs; absent while it is unassigned. */
  pool: z.string().optional(),
  /** Pool that lent the host; absent if the host is not on loan. */
  owner: z.string().optional(),
  /** Destination pool of a releasing host; absent if the host becomes unassigned. */
  toPool: z.string().optional(),
  /** Maintenance wave that last granted maintenance to the host. */
  wave: z.string().optional(),
  /** Sessions that have reported the host as drained since its release or grant. */
  drainedBy: z.array(z.string()).default([]),
  /**
   * Log offset of the release or grant that took the host out of service. Drain reports from
   * sessions with an older state refer to an earlier release or grant.
   */
  drainOffset: z.number().int().default(0),
  /** Time of the last change of `phase`. */
  phaseSince: z.number(),
  /** Time of the last change of `status`. */
  statusSince: z.number(),
  /** End of the last maintenance, or the time when the host was added to the inventory. */
  maintainedAt: z.number(),
});
export type HostState = z.infer<typeof HostState>;
