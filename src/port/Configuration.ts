import { z } from 'zod';

/** A queue: callers submit jobs under its host name and path prefix. */
export const QueueConfig = z.object({
  name: z.string(),
  hostName: z.string(),
  pathPrefix: z.string(),
  /** Pool whose hosts run the tasks. */
  pool: z.string(),
  /** 0 comes first and may preempt others. */
  priority: z.number().default(0),
  /** Failed runs after which a task, and with it its job, has failed. */
  maxAttempts: z.number().int().positive().default(1),
  /** A job should take at most this many times its longest chain of work ... */
  stretch: z.number().positive().default(2),
  /** ... and this many ms more. */
  latencyTargetMs: z.number().nonnegative().default(0),
  /** Longest time in ms in which a call is answered. */
  timeoutMs: z.number().positive().default(3_000),
  /** Present where an advice service decides which hosts may run a step. */
  advice: z.object({ decisionMs: z.number(), perHostMs: z.number() }).optional(),
});
export type QueueConfig = z.infer<typeof QueueConfig>;

/** A pool of hosts. */
export const PoolConfig = z.object({
  name: z.string(),
  /** Hosts refuse what does not fit; otherwise they start whatever they are told. */
  refusesOverload: z.boolean().default(false),
  /** Hosts of the pool are off, cost nothing and run nothing. */
  isStandby: z.boolean().default(false),
  /** Path at which a host of the pool tells whether it considers itself healthy. */
  healthPath: z.string().optional(),
  /** Most connections to one host. */
  maxConnections: z.number().int().positive().default(64),
});
export type PoolConfig = z.infer<typeof PoolConfig>;

/** Limits on calls of callers. */
export const RequestLimits = z.object({
  maxHeaderBytes: z.number().int().positive().default(16_384),
  maxBodyBytes: z.number().int().positive().default(262_144),
  headerTimeoutMs: z.number().positive().default(3_000),
  idleTimeoutMs: z.number().positive().default(15_000),
});
export type RequestLimits = z.infer<typeof RequestLimits>;

/** The operator's configuration in full. */
export const Configuration = z.object({
  version: z.number(),
  queues: z.array(QueueConfig),
  pools: z.array(PoolConfig),
  limits: RequestLimits.prefault({}),
});
export type Configuration = z.infer<typeof Configuration>;
