import { z } from 'zod';

/** Figures that the deployment sets, and settings of the decisions. Times in ms. */
export const ShardOptions = z.object({
  /** Data centre of the owner. */
  dataCentre: z.string().default(''),
  /** Longest lease that a host grants. */
  maxLeaseMs: z.number().positive(),
  /** Lease that the owner asks for; a host that is cut off keeps its runs for this long. */
  leaseMs: z.number().positive(),
  /** Longest time that a host takes to stop a run. */
  stopMs: z.number().nonnegative().default(1_000),
  /** Time that a host takes to come up in another pool. */
  moveMs: z.number().positive(),
  /** Pause between orders of two holders about one machine. */
  machineLeaseMs: z.number().positive(),
  /** An owner without contact to the store gives up after this time. */
  detachedLimitMs: z.number().positive(),
  /** See `IdleHostLending`. */
  borrowAboveMs: z.number().nonnegative().default(400),
  parkAfterMs: z.number().positive().default(1_500),
  keepHosts: z.number().int().nonnegative().default(2),
});
export type ShardOptions = z.infer<typeof ShardOptions>;
