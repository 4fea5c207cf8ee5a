import type { Exchange, HostSlot } from '../link/mod.js';

/** A job in a dispatcher, from its admission to its end. */
export interface JobEntry {
  exchange: Exchange;
  phase: 'locating' | 'queued' | 'claiming' | 'running' | 'forwarding';
  slot?: HostSlot;
  tried: Set<string>;
  /** Whether a byte of an earlier run may have been sent. */
  sentBefore: boolean;
  /** Set by a granted claim: when the job must have been sent. */
  claim?: { validUntil: number };
  /** Event of the time line that the next one follows from. */
  event?: number;
}

/** Creates the entry of a job that was just admitted. */
export function createJobEntry(exchange: Exchange): JobEntry {
  return { exchange, phase: 'locating', tried: new Set(), sentBefore: false };
}
