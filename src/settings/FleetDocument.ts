import { z } from 'zod';
import { DataCentre } from '../dataCentre/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { Team } from '../team/mod.js';
import { requireStrict } from './requireStrict.js';

/** Inventory, rules, or both, as applied by operators. Absent lists are left unchanged. */
export const FleetDocument = z.strictObject({
  dataCentres: z.array(requireStrict(DataCentre)).optional(),
  hosts: z.array(requireStrict(Host)).optional(),
  pools: z.array(requireStrict(Pool)).optional(),
  services: z.array(requireStrict(Service)).optional(),
  teams: z.array(requireStrict(Team)).optional(),
});
export type FleetDocument = z.infer<typeof FleetDocument>;

/** Names of the lists in a fleet document. */
export const FLEET_LISTS = ['dataCentres', 'hosts', 'pools', 'services', 'teams'] as const;
export type FleetList = (typeof FLEET_LISTS)[number];
