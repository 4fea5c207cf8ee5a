import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { ProcessStatusQuery } from '../fleet/mod.js';
import { ClaimCursor, ClaimRequest } from '../claim/mod.js';
import type { PeerApi } from './PeerApi.js';

const t = initTRPC.context<{ api: PeerApi }>().create();

/** The tRPC procedures that a gateway serves to other gateways. */
export const peerRouter = t.router({
  heartbeat: t.procedure.query(({ ctx }) => ctx.api.answerHeartbeat()),
  status: t.procedure
    .input(ProcessStatusQuery)
    .query(({ ctx, input }) => ctx.api.readStatus(input?.revision)),
  claim: t.procedure.input(ClaimRequest).mutation(({ ctx, input }) => ctx.api.recordClaims(input)),
  handOver: t.procedure
    .input(z.object({ session: z.string(), cursor: ClaimCursor }))
    .query(async ({ ctx, input }) => {
      const part = await ctx.api.readHandOver(input.session, input.cursor);
      return part ?? null;
    }),
});

/** Type of the router, from which tRPC clients infer their calls. */
export type PeerRouter = typeof peerRouter;
