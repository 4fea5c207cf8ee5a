import { z } from 'zod';

/** Name of an object of the inventory or the rules. */
export const Name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected a name like "rennes-1"');

/** A data centre: its hosts share racks, entry hosts and a network. */
export const DataCentre = z.object({
  name: Name,
  region: Name,
});
export type DataCentre = z.infer<typeof DataCentre>;
