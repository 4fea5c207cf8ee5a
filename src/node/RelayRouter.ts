import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type { WriteOutcome } from './WorkLogWriter.js';

/** State of a job as a peer reports it; null if there is no such job. */
export interface PeerJobState {
  state: string | null;
  queue: string | null;
  /** Organisation to which the job belongs; earlier versions do not report it. */
  organisation?: string | null;
}

/** Conditions under which a peer may append a record for another node. */
export const RelayedWriteLimit = z.object({
  timeoutMs: z.number(),
  /**
   * Wall-clock time of the sender, in ms since the Unix epoch, from which the record may not be
   * appended any more; undefined if it never expires. Unlike `timeoutMs`, it includes the time in
   * transit and a suspension of the peer before the receipt.
   */
  expiresAtMs: z.number().optional(),
});
export type RelayedWriteLimit = z.infer<typeof RelayedWriteLimit>;

/** Operations that a node offers to other nodes that cannot reach the store. */
export abstract class RelayApi {
  /** Checks whether this node expects to be able to append to the work log. */
  abstract canWrite(): Promise<boolean>;

  /** Appends a record to the work log, within the given limit. */
  abstract write(key: string, value: string, limit: RelayedWriteLimit): Promise<WriteOutcome>;

  /**
   * Checks whether this node is in contact with the store. A node that reports no contact to the
   * owner with the given token remembers that this owner may start tasks without recording them
   * from then on.
   */
  abstract checkStoreContact(token: number): boolean;

  /** Finds the state of a job; undefined if the view of this node is not current. */
  abstract findState(id: string): Promise<PeerJobState | undefined>;
}

const t = initTRPC.context<{ api: RelayApi }>().create();

/** tRPC procedures that a node serves to other nodes. */
export const relayRouter = t.router({
  ready: t.procedure.query(({ ctx }) => ctx.api.canWrite()),
  write: t.procedure
    .input(RelayedWriteLimit.extend({ key: z.string(), value: z.string() }))
    .mutation(({ ctx, input }) => ctx.api.write(input.key, input.value, input)),
  contact: t.procedure
    .input(z.object({ token: z.number() }))
    .query(({ ctx, input }) => ctx.api.checkStoreContact(input.token)),
  find: t.procedure.input(z.object({ id: z.string() })).query(async ({ ctx, input }) => {
    const found = await ctx.api.findState(input.id);
    return found ?? null;
  }),
});

/** Type of the router, from which clients infer the procedures. */
export type RelayRouter = typeof relayRouter;
