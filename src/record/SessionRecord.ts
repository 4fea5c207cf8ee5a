import { z } from 'zod';
import { Address } from '../host/mod.js';

/** A process starts its session. */
export const SessionOpen = z.object({
  type: z.literal('session-open'),
  session: z.string(),
  role: z.enum(['gateway', 'controller']),
  dataCentre: z.string(),
  /** Where callers reach the process; for a controller the address of its API. */
  address: Address,
  /** Where other processes of the system reach it. */
  peerAddress: Address,
});
export type SessionOpen = z.infer<typeof SessionOpen>;

/** A session has ended: by itself (`by` is the session), or as found by another session. */
export const SessionEnd = z.object({
  type: z.literal('session-end'),
  session: z.string(),
  by: z.string(),
});

/** A gateway session has the fleet state of at least `offset` in force. */
export const SessionConfirm = z.object({
  type: z.literal('session-confirm'),
  session: z.string(),
  offset: z.number().int().nonnegative(),
});
