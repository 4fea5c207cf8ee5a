import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { FleetSnapshot } from '../fleet/mod.js';
import { Operation, RecordBody } from '../record/mod.js';
import type { ControllerApi } from './ControllerApi.js';

const t = initTRPC.context<{ api: ControllerApi }>().create();

/** The tRPC procedures that a controller serves to operators, gateways and other controllers. */
export const controllerRouter = t.router({
  since: t.procedure
    .input(z.object({ offset: z.number().int().nonnegative(), waitMs: z.number().max(30_000) }))
    .query(({ ctx, input }) => ctx.api.readSince(input.offset, input.waitMs)),
  snapshot: t.procedure.output(FleetSnapshot).query(({ ctx }) => ctx.api.readSnapshot()),
  fleet: t.procedure.query(({ ctx }) => ctx.api.describe()),
  host: t.procedure
    .input(z.object({ name: z.string() }))
    .query(({ ctx, input }) => ctx.api.describeHost(input.name)),
  contracts: t.procedure.query(({ ctx }) => ctx.api.describeContracts()),
  change: t.procedure
    .input(
      z.object({
        baseRevision: z.number().int().nonnegative(),
        operations: z.array(Operation),
        operator: z.string(),
      }),
    )
    .mutation(({ ctx, input }) => ctx.api.changeConfiguration(input)),
  append: t.procedure
    .input(z.object({ body: RecordBody }))
    .mutation(({ ctx, input }) => ctx.api.append(input.body)),
});

/** Type of the router, from which clients infer their calls. */
export type ControllerRouter = typeof controllerRouter;
