import type { Exchange, TakenSlot } from '../link/mod.js';

/** A job in a dispatcher, from its admission to its end. */
export interface JobEntry {
  exchange: Exchange;
  phase: 'queued' | 'claiming' | 'running' | 'forwarding';
  slot?: TakenSlot;
  tried: Set<string>;
  /** Whether a byte of an earlier run may have been sent. */
  sentBefore: boolean;
  startedAt?: number;
  /** Event of the time line that the next one follows from. */
  event?: number;
}

/** Creates the entry of a job that was just admitted. */
export function createJobEntry(exchange: Exchange): JobEntry {
  return { exchange, phase: 'queued', tried: new Set(), sentBefore: false };
}
