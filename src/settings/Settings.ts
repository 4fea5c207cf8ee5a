import { z } from 'zod';
import { ControllerSettings } from './ControllerSettings.js';
import { GatewaySettings } from './GatewaySettings.js';

/** A settings file: which daemon to run and how. */
export const Settings = z.discriminatedUnion('role', [GatewaySettings, ControllerSettings]);
export type Settings = z.infer<typeof Settings>;
