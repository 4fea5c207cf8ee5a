import { z } from 'zod';
import { HostStatus } from '../host/mod.js';

/** Reports host statuses observed by controllers. */
export const HostObserved = z.object({
  type: z.literal('host-observed'),
  observations: z.array(
    z.object({
      host: z.string(),
      status: HostStatus,
      /**
       * Origin of the observation. Gateways observe listed hosts that fail the requests they get.
       */
      source: z.enum(['list', 'gateways']).optional(),
    }),
  ),
});

/**
 * Assigns hosts to a pool, or to none when `pool` is absent. The hosts must belong to no pool or be
 * drained for this assignment. Assigning a releasing host to its own pool cancels the release.
 */
export const HostAssign = z.object({
  type: z.literal('host-assign'),
  hosts: z.array(z.string()),
  pool: z.string().optional(),
});

/** Starts draining hosts so that they can move to another pool or to none. */
export const HostRelease = z.object({
  type: z.literal('host-release'),
  hosts: z.array(z.string()),
  toPool: z.string().optional(),
  /** Pool of the hosts when the release was proposed. Rejects a late release of a moved host. */
  fromPool: z.string().optional(),
  /** Marks a loan: the hosts still count towards the size of the lending pool and return to it. */
  isLoan: z.literal(true).optional(),
});

/** Reports that a gateway session has no work in flight on the hosts and sends them no new work. */
export const HostDrained = z.object({
  type: z.literal('host-drained'),
  session: z.string(),
  hosts: z.array(z.string()),
  /**
   * Next offset of the state in which the session found the hosts drained. Defaults to the offset
   * that the session has confirmed.
   */
  offset: z.number().int().nonnegative().optional(),
});

/** Moves hosts through the steps of maintenance. */
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
