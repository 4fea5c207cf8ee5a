import { z } from 'zod';

/** Options of a `Shard`: limits of the deployment and settings of the policies. All times in ms. */
export const ShardOptions = z.object({
  /** Data centre of the owner. */
  dataCentre: z.string().default(''),
  /** Maximum lease that a host grants. */
  maxLeaseMs: z.number().positive(),
  /** Lease that the owner requests; a disconnected host keeps its runs for this time. */
  leaseMs: z.number().positive(),
  /** Maximum time that a host takes to stop a run. */
  stopMs: z.number().nonnegative().default(1_000),
  /** Duration of a move until the host is up in its new pool. */
  moveMs: z.number().positive(),
  /** Required pause between the orders of two owners for one machine. */
  machineLeaseMs: z.number().positive(),
  /** Time without contact to the store after which an owner gives up the shard. */
  detachedLimitMs: z.number().positive(),
  /** Window over which the submission rate of an organisation is measured. */
  rateWindowMs: z.number().positive().default(5_000),
  /** Fraction by which a start may bring an organisation above its cap, plus one task. */
  capOvershoot: z.number().nonnegative().default(0),
  /**
   * Factor on the value of the largest tenth of the jobs of a queue when the order of starts is
   * decided. 1 gives the most value in time; in a burst of 2.5 times the capacity, these jobs are
   * then in time 0.4 times as often as all jobs, and with 1.5 half as often (overload.md).
   */
  largeJobFactor: z.number().min(1).default(1),
  /** Order of waiting work: see `LeastWorkFirst` and `LeastCostFirst`. */
  overloadPolicy: z.enum(['least-work', 'least-cost']).default('least-cost'),
  /** See `IdleHostLendingOptions`. */
  borrowAboveMs: z.number().nonnegative().default(400),
  /** See `IdleHostLendingOptions`. */
  parkAfterMs: z.number().positive().default(1_500),
  /** See `IdleHostLendingOptions`. */
  keepHosts: z.number().int().nonnegative().default(2),
});
export type ShardOptions = z.infer<typeof ShardOptions>;
