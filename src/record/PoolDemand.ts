import { z } from 'zod';

/**
 * Number of hosts that pools under sustained overload need beyond their configuration. An `extra`
 * of 0 ends the demand. Controllers derive it from the load that gateways report and append it
 * rarely.
 */
export const PoolDemand = z.object({
  type: z.literal('pool-demand'),
  demands: z.array(z.object({ pool: z.string(), extra: z.number().int().nonnegative() })),
});
export type PoolDemand = z.infer<typeof PoolDemand>;
