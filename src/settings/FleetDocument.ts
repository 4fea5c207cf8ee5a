import { z } from 'zod';
import { DataCentre } from '../dataCentre/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { Team } from '../team/mod.js';
import { requireStrict } from './requireStrict.js';

/** An inventory, rules, or both, as operators load them. A list that is absent is left as it is. */
export const FleetDocument = z.strictObject({
  dataCentres: z.array(requireStrict(DataCentre)).optional(),
  hosts: z.array(requireStrict(Host)).optional(),
  pools: z.array(requireStrict(Pool)).optional(),
  services: z.array(requireStrict(Service)).optional(),
  teams: z.array(requireStrict(Team)).optional(),
});
export type FleetDocument = z.infer<typeof FleetDocument>;

/** The lists of a document. */
export const FLEET_LISTS = ['dataCentres', 'hosts', 'pools', 'services', 'teams'] as const;
export type FleetList = (typeof FLEET_LISTS)[number];
