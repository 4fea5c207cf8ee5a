import { z } from 'zod';
import { HostStatus } from '../host/mod.js';

/** What controllers observed of hosts. */
export const HostObserved = z.object({
  type: z.literal('host-observed'),
  observations: z.array(z.object({ host: z.string(), status: HostStatus })),
});

/**
 * Gives hosts that belong to no pool, or have drained for it, to a pool, or to none when `pool` is
 * absent. Assigning a releasing host to its own pool takes the release back.
 */
export const HostAssign = z.object({
  type: z.literal('host-assign'),
  hosts: z.array(z.string()),
  pool: z.string().optional(),
});

/** Starts to drain hosts, so that they can go to another pool or to none. */
export const HostRelease = z.object({
  type: z.literal('host-release'),
  hosts: z.array(z.string()),
  toPool: z.string().optional(),
  /** The pool that the proposer saw them in; a late release of a host that has moved is refused. */
  fromPool: z.string().optional(),
});

/** A gateway session has no work in flight on these hosts and sends them none. */
export const HostDrained = z.object({
  type: z.literal('host-drained'),
  session: z.string(),
  hosts: z.array(z.string()),
  /**
   * Next offset of the state in which the session found them drained; the offset that the session
   * has confirmed when absent.
   */
  offset: z.number().int().nonnegative().optional(),
});

/** A step of the maintenance of hosts. */
export const Maintenance = z.object({
  type: z.enum([
    'maintenance-grant',
    'maintenance-start',
    'maintenance-end',
    'maintenance-withdraw',
  ]),
  hosts: z.array(z.string()),
  wave: z.string().default(''),
});
export type Maintenance = z.infer<typeof Maintenance>;
