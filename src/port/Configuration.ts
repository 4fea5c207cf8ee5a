import { z } from 'zod';

/** Configuration of a queue, which accepts jobs under its host name and path prefix. */
export const QueueConfig = z.object({
  name: z.string(),
  hostName: z.string(),
  pathPrefix: z.string(),
  /** Pool whose hosts run the tasks of the queue. */
  pool: z.string(),
  /** Scheduling priority: 0 is the highest; a queue may preempt queues of lower priority. */
  priority: z.number().default(0),
  /** Number of failed runs after which a task, and with it its job, fails. */
  maxAttempts: z.number().int().positive().default(1),
  /** Target duration of a job as a multiple of its critical path, plus `latencyTargetMs`. */
  stretch: z.number().positive().default(2),
  /** Constant part in ms of the target duration of a job. */
  latencyTargetMs: z.number().nonnegative().default(0),
  /** Time limit in ms for answering a request. */
  timeoutMs: z.number().positive().default(3_000),
  /** Calls need no API key. */
  isPublic: z.boolean().default(false),
  /** Set if an advice service decides which hosts may run a step; holds its response times. */
  advice: z
    .object({ decisionMs: z.number().nonnegative(), perHostMs: z.number().nonnegative() })
    .optional(),
});
export type QueueConfig = z.infer<typeof QueueConfig>;

/** Configuration of a pool of hosts. */
export const PoolConfig = z.object({
  name: z.string(),
  /** Hosts reject tasks that exceed their capacity; otherwise they start every task. */
  refusesOverload: z.boolean().default(false),
  /** Hosts of the pool are powered off: they run no tasks and incur no cost. */
  isStandby: z.boolean().default(false),
  /** Path of the health check of the pool's hosts. */
  healthPath: z.string().optional(),
  /** Maximum number of connections to one host. */
  maxConnections: z.number().int().positive().default(64),
});
export type PoolConfig = z.infer<typeof PoolConfig>;

/** Limit of the resources that an organisation may have in use across all hosts; 0 is no limit. */
export const ResourceCap = z.object({
  cpuMilli: z.number().nonnegative().default(0),
  memoryMb: z.number().nonnegative().default(0),
  accelerators: z.number().nonnegative().default(0),
});
export type ResourceCap = z.infer<typeof ResourceCap>;

/** Configuration of an organisation: a customer whose callers share API keys, a rate and a cap. */
export const OrganisationConfig = z.object({
  name: z.string(),
  /** API keys that its callers send; never logged. */
  apiKeys: z.array(z.string()),
  /** Jobs a second that are owed to it, and its weight when pools are full. */
  jobsPerS: z.number().nonnegative(),
  cap: ResourceCap.prefault({}),
});
export type OrganisationConfig = z.infer<typeof OrganisationConfig>;

/** Limits on HTTP requests of callers. */
export const RequestLimits = z.object({
  maxHeaderBytes: z.number().int().positive().default(16_384),
  maxBodyBytes: z.number().int().positive().default(262_144),
  headerTimeoutMs: z.number().positive().default(3_000),
  idleTimeoutMs: z.number().positive().default(15_000),
});
export type RequestLimits = z.infer<typeof RequestLimits>;

/** Complete configuration set by the operator. */
export const Configuration = z.object({
  version: z.number(),
  queues: z.array(QueueConfig),
  pools: z.array(PoolConfig),
  /** Undefined if the deployment has no organisations; then no call needs an API key. */
  organisations: z.array(OrganisationConfig).optional(),
  limits: RequestLimits.prefault({}),
});
export type Configuration = z.infer<typeof Configuration>;
