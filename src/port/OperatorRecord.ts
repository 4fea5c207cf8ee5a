import type { Configuration } from './Configuration.js';

/** Maintenance that the operator asks for. */
export interface WaveOrder {
  wave: number;
  machines: string[];
  /** Time in ms in which each machine must have begun its maintenance. */
  durationMs: number;
  /** Most machines under maintenance at once. */
  cap: number;
}

/** What a record of the operator says. */
export type OperatorRecord =
  | { type: 'configuration'; configuration: Configuration }
  | { type: 'wave'; order: WaveOrder }
  | { type: 'wave-removed'; wave: number }
  /** A record of another kind, or one that cannot be read. */
  | { type: 'unknown'; key: string; reason: string };
