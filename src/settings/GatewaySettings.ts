import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Address } from '../host/mod.js';
import { OBSERVABILITY_SETTINGS } from './LogLevel.js';

/** Settings of a `gateway` daemon. */
export const GatewaySettings = z.strictObject({
  role: z.literal('gateway'),
  dataCentre: ObjectName,
  /** Address that serves callers. */
  address: Address,
  /** Address that serves other processes of the system. */
  peerAddress: Address,
  /** API addresses of the controllers to follow, in order of preference. */
  controllers: z.array(Address).min(1).max(16),
  /**
   * Time between reporting "not ready" and closing the listener, in which the load balancer removes
   * the gateway.
   */
  stopNoticeMs: z.number().int().nonnegative().default(5_000),
  /** Order of admission. `fifo` is a baseline for measurements. */
  admission: z.enum(['fair', 'fifo']).default('fair'),
  ...OBSERVABILITY_SETTINGS,
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
