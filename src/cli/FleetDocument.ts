import { z } from 'zod';
import { DataCentre } from '../dataCentre/mod.js';
import { Host } from '../host/mod.js';
import { Pool } from '../pool/mod.js';
import { Service } from '../service/mod.js';
import { Team } from '../team/mod.js';

/** An inventory with its rules, as operators load it. A list that is absent is left as it is. */
export const FleetDocument = z.strictObject({
  dataCentres: z.array(DataCentre).optional(),
  hosts: z.array(Host).optional(),
  pools: z.array(Pool).optional(),
  services: z.array(Service).optional(),
  teams: z.array(Team).optional(),
});
export type FleetDocument = z.infer<typeof FleetDocument>;
