import { z } from 'zod';
import { ObjectName } from '../dataCentre/mod.js';
import { Address } from '../host/mod.js';
import { OBSERVABILITY_SETTINGS } from './LogLevel.js';

/** Settings of a `controller` daemon. */
export const ControllerSettings = z.strictObject({
  role: z.literal('controller'),
  dataCentre: ObjectName,
  /** Address that serves operators, gateways and other controllers. */
  address: Address,
  /** Base URL of the platform, which provides the log and the host list. */
  platform: z.url({ protocol: /^https?$/, error: 'expected a URL like "http://10.0.0.1:7000"' }),
  /** API addresses of other controllers. */
  peers: z.array(Address).max(64).default([]),
  /** Retention time of the platform's log. Checkpoints are written well before half of it. */
  retentionSeconds: z.number().positive().default(3_600),
  ...OBSERVABILITY_SETTINGS,
});
export type ControllerSettings = z.infer<typeof ControllerSettings>;
