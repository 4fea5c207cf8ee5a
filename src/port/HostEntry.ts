import { z } from 'zod';
import { isSocketAddress } from '../net/isSocketAddress.js';

/** An amount or a time in whole or fractional units that arithmetic on it keeps exact enough. */
const Amount = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);

/** Total resources of a host. */
export const Capacity = z.object({ cpuMilli: Amount, memoryMb: Amount, accelerators: Amount });
export type Capacity = z.infer<typeof Capacity>;

/** Registration that a host writes to the store about itself. */
export const HostEntry = z.object({
  id: z.string().min(1),
  pool: z.string(),
  /** Address of the host, `IP:port`. */
  address: z.string().refine(isSocketAddress, 'expected "IP:port" with a port from 1 to 65535'),
  dataCentre: z.string(),
  state: z.enum(['ready', 'draining']),
  /** All labels, including the rack label. */
  labels: z.array(z.string()),
  /** Label that identifies the rack; undefined if there is none. */
  rack: z.string().or(z.undefined()),
  capacity: Capacity,
  /** Reading of the host's monotonic clock when it wrote the entry, in ms. */
  clockMs: Amount.or(z.undefined()),
  /** Start time of this incarnation of the host, in ms since the Unix epoch. */
  startedAtMs: Amount.int().or(z.undefined()),
  /** Machine that the host runs on; undefined if the entry does not name it. */
  machine: z.string().or(z.undefined()),
  /** Minimum time in ms for which a draining host continues to serve. */
  remainingMs: Amount.or(z.undefined()),
});
export type HostEntry = z.infer<typeof HostEntry>;

/** A change to the host list. */
export type HostRecord =
  | { type: 'entry'; entry: HostEntry }
  | { type: 'gone'; id: string }
  /** The entry could not be decoded, so it names no usable host. */
  | { type: 'unknown'; id: string; reason: string };
