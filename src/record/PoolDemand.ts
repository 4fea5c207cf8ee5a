import { z } from 'zod';

/**
 * What a lasting overload of pools asks for above their rules, in hosts; 0 ends it. Controllers
 * derive it from the load that gateways report, and append it rarely.
 */
export const PoolDemand = z.object({
  type: z.literal('pool-demand'),
  demands: z.array(z.object({ pool: z.string(), extra: z.number().int().nonnegative() })),
});
export type PoolDemand = z.infer<typeof PoolDemand>;
