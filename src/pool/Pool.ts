import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Resources } from '../host/mod.js';

/** When hosts of a pool may be taken away for maintenance. */
export const MaintenanceTerms = z.object({
  /** Each host is maintained once in this many days. */
  periodDays: z.number().positive().default(49),
  /** Hours of the day in UTC; `from` is included, `to` is not. No window means any hour. */
  windows: z
    .array(z.object({ from: z.number().int().min(0).max(23), to: z.number().int().min(1).max(24) }))
    .default([]),
});
export type MaintenanceTerms = z.infer<typeof MaintenanceTerms>;

/** The rules of a pool. Counts are hosts. */
export const Pool = z.object({
  name: ObjectName,
  /** Hosts that the load of the pool needs. */
  need: z.number().int().nonnegative(),
  /** Hosts held above `need`. */
  headroom: z.number().int().nonnegative().default(0),
  /** Hosts that may be unavailable at the same time. */
  availabilityBudget: z.number().int().nonnegative().default(0),
  /** Whether the budget must still hold after the loss of any one rack. */
  guardRackLoss: z.boolean().default(true),
  requires: Resources.prefault({}),
  /** Whether the pool may lend hosts to other pools. */
  lends: z.boolean().default(false),
  /** A shortage that lasts longer than this borrows from a lending pool. */
  lendAfterSeconds: z.number().nonnegative().default(30),
  maintenance: MaintenanceTerms.prefault({}),
});
export type Pool = z.infer<typeof Pool>;
