import type { Host, HostState } from '../host/mod.js';

/** A member of a pool with its state. */
export interface WaveMember {
  host: Host;
  state: HostState;
}

/** When a host has to be maintained. Times are milliseconds since the Unix epoch. */
export interface WaveTurn extends WaveMember {
  /** End of its period. */
  dueAt: number;
  /** Latest time to start it so that the hosts due after it are on time at an even rate. */
  startAt: number;
  /** Name of the wave, unique for each maintenance of a host. */
  wave: string;
}
