import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import type { WriteOutcome } from './WorkLogWriter.js';

/** What a node does for another one that cannot reach the store. */
export abstract class RelayApi {
  /** Checks whether this node appends records to the work log now, as far as it knows. */
  abstract canWrite(): Promise<boolean>;

  /** Appends a record to the work log; gives up after the given time in ms. */
  abstract write(key: string, value: string, timeoutMs: number): Promise<WriteOutcome>;

  /**
   * Tells whether this node is in contact with the store. A node that says no to the owner of a
   * token knows that this owner may start tasks without a record from then on.
   */
  abstract checkStoreContact(token: number): boolean;

  /** Tells the state of a job from a state that is current; undefined where it is not. */
  abstract findState(
    id: string,
  ): Promise<{ state: string | null; queue: string | null } | undefined>;
}

const t = initTRPC.context<{ api: RelayApi }>().create();

/** The tRPC procedures that a node serves to the others. */
export const relayRouter = t.router({
  ready: t.procedure.query(({ ctx }) => ctx.api.canWrite()),
  write: t.procedure
    .input(z.object({ key: z.string(), value: z.string(), timeoutMs: z.number() }))
    .mutation(({ ctx, input }) => ctx.api.write(input.key, input.value, input.timeoutMs)),
  contact: t.procedure
    .input(z.object({ token: z.number() }))
    .query(({ ctx, input }) => ctx.api.checkStoreContact(input.token)),
  find: t.procedure.input(z.object({ id: z.string() })).query(async ({ ctx, input }) => {
    const found = await ctx.api.findState(input.id);
    return found ?? null;
  }),
});

/** Type of the router, from which clients infer their calls. */
export type RelayRouter = typeof relayRouter;
