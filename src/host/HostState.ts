import { z } from 'zod';

/** Whether a host answers: what the platform's list and the gateways report. */
export const HostStatus = z.enum(['live', 'leaving', 'failed']);
export type HostStatus = z.infer<typeof HostStatus>;

/**
 * What the system does with a host. A `releasing` or `granted` host drains and still belongs to its
 * pool; a host in `maintenance` belongs to it as well and returns to it.
 */
export const HostPhase = z.enum(['unassigned', 'serving', 'releasing', 'granted', 'maintenance']);
export type HostPhase = z.infer<typeof HostPhase>;

/** The state of one host in the fold of the log. Times are platform times in milliseconds. */
export const HostState = z.object({
  status: HostStatus,
  phase: HostPhase,
  /** The pool that the host belongs to; absent while it is unassigned. */
  pool: z.string().optional(),
  /** Where a releasing host goes; absent when it becomes unassigned. */
  toPool: z.string().optional(),
  /** The maintenance wave that granted it last. */
  wave: z.string().optional(),
  /** Sessions that have reported it drained since the release or the grant. */
  drainedBy: z.array(z.string()).default([]),
  /**
   * Offset of the release or grant that took it out of service. Reports of sessions whose state is
   * older speak of an earlier release or grant.
   */
  drainOffset: z.number().int().default(0),
  /** When `phase` last changed. */
  phaseSince: z.number(),
  /** When `status` last changed. */
  statusSince: z.number(),
  /** End of the last maintenance, or the time at which the host joined the inventory. */
  maintainedAt: z.number(),
});
export type HostState = z.infer<typeof HostState>;
