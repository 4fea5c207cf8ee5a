import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

/** A service: requests under a path prefix, served by the hosts of one pool. */
export const Service = z.object({
  name: ObjectName,
  pathPrefix: z.string().regex(/^\/[^?#]*$/, 'expected a path that begins with "/"'),
  pool: ObjectName,
  /** Whether jobs with the methods POST and PATCH may be run twice without harm. */
  idempotent: z.boolean().default(false),
  /** Jobs that one upstream host runs at the same time, over all gateways. */
  slotsPerHost: z.number().int().positive().default(8),
  /** Connections that one upstream host accepts, over all gateways. */
  connectionsPerHost: z.number().int().positive().default(64),
  /** Longest time that a job may run on an upstream host. */
  jobTimeoutMs: z.number().int().positive().default(30_000),
});
export type Service = z.infer<typeof Service>;
