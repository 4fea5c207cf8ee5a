import { z } from 'zod';
import type { Configuration } from './Configuration.js';

/** Maintenance wave requested by the operator. */
export const WaveOrder = z.object({
  wave: z.number().int().nonnegative(),
  machines: z.array(z.string()),
  /** Time in ms within which the maintenance of every machine must have started. */
  durationMs: z.number().nonnegative().max(Number.MAX_SAFE_INTEGER),
  /** Maximum number of machines under maintenance at the same time. */
  cap: z.number().int().nonnegative(),
});
export type WaveOrder = z.infer<typeof WaveOrder>;

/** Decoded record of the operator. */
export type OperatorRecord =
  | { type: 'configuration'; configuration: Configuration }
  | { type: 'wave'; order: WaveOrder }
  | { type: 'wave-removed'; wave: number }
  /** The record has an unknown key or could not be decoded. */
  | { type: 'unknown'; key: string; reason: string };
