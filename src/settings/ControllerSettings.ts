import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Address } from '../host/mod.js';
import { OBSERVATION_SETTINGS } from './LogLevel.js';

/** Settings of a `controller` daemon. */
export const ControllerSettings = z.strictObject({
  role: z.literal('controller'),
  dataCentre: ObjectName,
  /** Where operators, gateways and other controllers are served. */
  address: Address,
  /** Base URL of the platform's log and host list. */
  platform: z.url({ protocol: /^https?$/, error: 'expected a URL like "http://10.0.0.1:7000"' }),
  /** APIs of other controllers. */
  peers: z.array(Address).max(64).default([]),
  /** How long the platform's log retains records; checkpoints are written well before half of it. */
  retentionSeconds: z.number().positive().default(3_600),
  ...OBSERVATION_SETTINGS,
});
export type ControllerSettings = z.infer<typeof ControllerSettings>;
