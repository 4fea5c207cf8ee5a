import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

const MAX_PORT = 65_535;

/** Address of a process as `IP:port`. */
export const Address = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected "IP:port"')
  .refine((address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= MAX_PORT, {
    error: `the port is above ${MAX_PORT}`,
  });

/** What a host offers, or what a pool requires of each of its hosts. */
export const Resources = z.object({
  cores: z.number().int().nonnegative().default(0),
  memoryGb: z.number().nonnegative().default(0),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Resources = z.infer<typeof Resources>;

/** A host (worker) as the asset register describes it. */
export const Host = z.object({
  name: ObjectName,
  dataCentre: ObjectName,
  rack: ObjectName,
  /** Where its upstream process listens. */
  address: Address,
  resources: Resources.prefault({}),
});
export type Host = z.infer<typeof Host>;
