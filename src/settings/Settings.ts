import { z } from 'zod';
import { ControllerSettings } from './ControllerSettings.js';
import { GatewaySettings } from './GatewaySettings.js';

/** A settings file, whose `role` selects the daemon to run. */
export const Settings = z.discriminatedUnion('role', [GatewaySettings, ControllerSettings]);
export type Settings = z.infer<typeof Settings>;
