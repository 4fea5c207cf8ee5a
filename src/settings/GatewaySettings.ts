import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Address } from '../host/mod.js';
import { OBSERVATION_SETTINGS } from './LogLevel.js';

/** Settings of a `gateway` daemon. */
export const GatewaySettings = z.strictObject({
  role: z.literal('gateway'),
  dataCentre: ObjectName,
  /** Where callers are served. */
  address: Address,
  /** Where other processes of the system are served. */
  peerAddress: Address,
  /** APIs of controllers to follow, in order of preference. */
  controllers: z.array(Address).min(1).max(16),
  /** Time between "not ready" and the end of accepting: the notice that the load balancer needs. */
  stopNoticeMs: z.number().int().nonnegative().default(5_000),
  /** `fifo` is for comparison in measurements. */
  admission: z.enum(['fair', 'fifo']).default('fair'),
  ...OBSERVATION_SETTINGS,
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
