import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';

const MAX_PORT = 65_535;

/** Network address of a process in the form `IP:port`. */
export const Address = z
  .string()
  .regex(/^[0-9a-fA-F.:[\]]+:\d{1,5}$/, 'expected "IP:port"')
  .refine((address) => Number(address.slice(address.lastIndexOf(':') + 1)) <= MAX_PORT, {
    error: `the port is above ${MAX_PORT}`,
  });

/** The resources that a host provides, or that a pool requires of each of its hosts. */
export const Resources = z.object({
  cores: z.number().int().nonnegative().default(0),
  memoryGb: z.number().nonnegative().default(0),
  accelerators: z.number().int().nonnegative().default(0),
});
export type Resources = z.infer<typeof Resources>;

/** A host (worker) as described in the inventory. */
export const Host = z.object({
  name: ObjectName,
  dataCentre: ObjectName,
  rack: ObjectName,
  /** Address on which its upstream process listens. */
  address: Address,
  resources: Resources.prefault({}),
});
export type Host = z.infer<typeof Host>;
