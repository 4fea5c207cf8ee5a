import type { Exchange, HostSlot } from '../link/mod.js';

/** State of a job in a dispatcher, from its submission to its end. */
export interface JobEntry {
  exchange: Exchange;
  phase: 'locating' | 'queued' | 'claiming' | 'running' | 'forwarding';
  slot?: HostSlot;
  triedHosts: Set<string>;
  /** Whether bytes of the request may have been sent in an earlier run. */
  sentBefore: boolean;
  /**
   * Set when a claim is granted. `validUntil` is the monotonic time by which the job must be sent.
   */
  claim?: { validUntil: number };
  /** Timeline event that is the cause of the next event of the job. */
  event?: number;
}

/** Creates the entry of a newly submitted job. */
export function createJobEntry(exchange: Exchange): JobEntry {
  return { exchange, phase: 'locating', triedHosts: new Set(), sentBefore: false };
}
