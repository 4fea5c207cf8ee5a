import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

/** A team of callers and its share of each service's capacity. */
export const Team = z.object({
  name: ObjectName,
  /** Weight of the team in weighted fair sharing when a service is short of capacity. */
  quota: z.number().positive().default(1),
});
export type Team = z.infer<typeof Team>;
