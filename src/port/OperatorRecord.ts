import type { Configuration } from './Configuration.js';

/** Maintenance wave requested by the operator. */
export interface WaveOrder {
  wave: number;
  machines: string[];
  /** Time in ms within which the maintenance of every machine must have started. */
  durationMs: number;
  /** Maximum number of machines under maintenance at the same time. */
  cap: number;
}

/** Decoded record of the operator. */
export type OperatorRecord =
  | { type: 'configuration'; configuration: Configuration }
  | { type: 'wave'; order: WaveOrder }
  | { type: 'wave-removed'; wave: number }
  /** The record has an unknown key or could not be decoded. */
  | { type: 'unknown'; key: string; reason: string };
