import { z } from 'zod';

/** Name of a configured object, such as a host, a pool or a team. */
export const ObjectName = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a name like "rennes-1"');

/** A data centre. Its hosts share racks, entry hosts and a network. */
export const DataCentre = z.object({
  name: ObjectName,
  region: ObjectName,
});
export type DataCentre = z.infer<typeof DataCentre>;
