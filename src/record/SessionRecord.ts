import { z } from 'zod';
import { Address } from '../host/mod.js';

/** Opens the session of a process. */
export const SessionOpen = z.object({
  type: z.literal('session-open'),
  session: z.string(),
  role: z.enum(['gateway', 'controller']),
  dataCentre: z.string(),
  /** Address at which callers reach a gateway, or the API address of a controller. */
  address: Address,
  /** Address at which other processes of the system reach this process. */
  peerAddress: Address,
});
export type SessionOpen = z.infer<typeof SessionOpen>;

/**
 * Ends a session. `by` is the session itself on a planned stop, otherwise the session that ends it.
 */
export const SessionEnd = z.object({
  type: z.literal('session-end'),
  session: z.string(),
  by: z.string(),
});

/** Confirms that a gateway session uses a fleet state of at least `offset`. */
export const SessionConfirm = z.object({
  type: z.literal('session-confirm'),
  session: z.string(),
  offset: z.number().int().nonnegative(),
});
