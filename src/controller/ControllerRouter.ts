import { initTRPC } from '@trpc/server';
import { z } from 'zod';
import { ProcessStatusQuery, SessionState, WaveReport } from '../fleet/mod.js';
import { ServiceLoad } from '../pool/mod.js';
import { Operation, RecordBody } from '../record/mod.js';
import type { ControllerApi } from './ControllerApi.js';

/** Adds the error name, so that clients can distinguish "not applied" from "outcome unknown". */
const t = initTRPC.context<{ api: ControllerApi }>().create({
  errorFormatter: ({ shape, error }) => ({
    ...shape,
    data: { ...shape.data, name: error.cause?.name },
  }),
});

/** Upper limit of the hosts in a data centre; a single gateway cannot observe more. */
const MAX_REPORTED_HOSTS = 2_000;

const MAX_REPORTED_SERVICES = 500;

/** The tRPC procedures that a controller serves to operators, gateways and other controllers. */
export const controllerRouter = t.router({
  since: t.procedure
    .input(z.object({ offset: z.number().int().nonnegative(), waitMs: z.number().max(30_000) }))
    .query(({ ctx, input }) => ctx.api.readRecords(input.offset, input.waitMs)),
  snapshot: t.procedure.query(({ ctx }) => ctx.api.readSnapshot()),
  ping: t.procedure.query(({ ctx }) => ctx.api.answerProbe()),
  status: t.procedure
    .input(ProcessStatusQuery)
    .query(({ ctx, input }) => ctx.api.readStatus(input?.revision)),
  rollout: t.procedure
    .input(ProcessStatusQuery)
    .query(({ ctx, input }) => ctx.api.readRollout(input?.revision)),
  report: t.procedure
    .input(
      z.object({
        reporter: z.string(),
        hosts: z.array(z.string()).max(MAX_REPORTED_HOSTS),
        healthy: z.array(z.string()).max(MAX_REPORTED_HOSTS).default([]),
      }),
    )
    .mutation(({ ctx, input }) => ctx.api.report(input)),
  load: t.procedure
    .input(
      z.object({ reporter: z.string(), loads: z.array(ServiceLoad).max(MAX_REPORTED_SERVICES) }),
    )
    .mutation(({ ctx, input }) => ctx.api.reportLoad(input.reporter, input.loads)),
  fleet: t.procedure.query(({ ctx }) => ctx.api.describeFleet()),
  host: t.procedure
    .input(z.object({ name: z.string() }))
    .query(({ ctx, input }) => ctx.api.describeHost(input.name)),
  contracts: t.procedure.query(({ ctx }) => ctx.api.describeContracts()),
  waves: t.procedure.output(z.array(WaveReport)).query(({ ctx }) => ctx.api.describeWaves()),
  sessions: t.procedure.output(z.array(SessionState)).query(({ ctx }) => ctx.api.listSessions()),
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
