import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

/** A team of callers with its share of each service. */
export const Team = z.object({
  name: ObjectName,
  /** Weight of the team's share when a service is short of capacity. */
  quota: z.number().positive().default(1),
});
export type Team = z.infer<typeof Team>;
