import { z } from 'zod';
import { describeFleet } from './describeFleet.js';
import type { Fleet } from './Fleet.js';

/** One promise of the system for a pool, with how far it is from being broken. */
export const ContractReport = z.object({
  pool: z.string(),
  promise: z.enum(['need', 'availability']),
  kept: z.boolean(),
  /** Hosts that may still be lost, or hosts that are missing when negative. */
  margin: z.number().int(),
});
export type ContractReport = z.infer<typeof ContractReport>;

/** Describes whether each pool has the hosts it needs and keeps its availability budget. */
export function describeContracts(fleet: Fleet): ContractReport[] {
  return describeFleet(fleet).pools.flatMap(
    ({ pool, serving, need, unavailable, availabilityBudget }): ContractReport[] => [
      { pool, promise: 'need', kept: serving >= need, margin: serving - need },
      {
        pool,
        promise: 'availability',
        kept: unavailable <= availabilityBudget,
        margin: availabilityBudget - unavailable,
      },
    ],
  );
}
