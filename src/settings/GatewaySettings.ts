import { z } from 'zod';
import { Name } from '../dataCentre/mod.js';
import { Address } from '../host/mod.js';
import { OBSERVATION_SETTINGS } from './LogLevel.js';

/** Settings of a `gateway` daemon. */
export const GatewaySettings = z.strictObject({
  role: z.literal('gateway'),
  dataCentre: Name,
  /** Where callers are served. */
  address: Address,
  /** Where other processes of the system are served. */
  peerAddress: Address,
  /** APIs of controllers to follow, in order of preference. */
  controllers: z.array(Address).min(1).max(16),
  ...OBSERVATION_SETTINGS,
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
