import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Resources } from '../host/mod.js';

/** When the hosts of a pool are maintained. */
export const MaintenanceSchedule = z.object({
  /** Every host is maintained once within this number of days. */
  periodDays: z.number().positive().default(49),
  /**
   * Hours of the day in UTC during which maintenance is allowed; `from` is inclusive, `to`
   * exclusive. Without windows, maintenance is allowed at any hour.
   */
  windows: z
    .array(z.object({ from: z.number().int().min(0).max(23), to: z.number().int().min(1).max(24) }))
    .default([]),
});
export type MaintenanceSchedule = z.infer<typeof MaintenanceSchedule>;

/** The rules of a pool. All counts are numbers of hosts. */
export const Pool = z.object({
  name: ObjectName,
  /** Hosts required to serve the load of the pool. */
  need: z.number().int().nonnegative(),
  /** Spare hosts in addition to `need`. */
  headroom: z.number().int().nonnegative().default(0),
  /** Maximum number of hosts that may be unavailable at the same time. */
  availabilityBudget: z.number().int().nonnegative().default(0),
  /** Whether the availability budget must still hold if any single rack fails. */
  guardRackLoss: z.boolean().default(true),
  requires: Resources.prefault({}),
  /** Whether the pool may lend hosts to other pools. */
  lends: z.boolean().default(false),
  /** After a shortage of this duration, the pool borrows hosts from a lending pool. */
  lendAfterSeconds: z.number().nonnegative().default(30),
  maintenance: MaintenanceSchedule.prefault({}),
});
export type Pool = z.infer<typeof Pool>;
