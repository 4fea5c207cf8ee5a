import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

/** A service: routes requests under a path prefix to the upstream hosts of one pool. */
export const Service = z.object({
  name: ObjectName,
  pathPrefix: z.string().regex(/^\/[^?#]*$/, 'expected a path that begins with "/"'),
  pool: ObjectName,
  /** Whether POST and PATCH requests are idempotent and may run more than once. */
  idempotent: z.boolean().default(false),
  /** Maximum number of concurrent jobs on one upstream host, across all gateways. */
  slotsPerHost: z.number().int().positive().default(8),
  /** Maximum number of connections to one upstream host, across all gateways. */
  connectionsPerHost: z.number().int().positive().default(64),
  /** Maximum run time in ms of a job on an upstream host. */
  jobTimeoutMs: z.number().int().positive().default(30_000),
});
export type Service = z.infer<typeof Service>;
