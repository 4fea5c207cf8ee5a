import type { Host, HostState } from '../host/mod.js';

/** A member of a pool and its state. */
export interface PoolMember {
  host: Host;
  state: HostState;
}

/** The maintenance schedule of one host. Times are in milliseconds since the Unix epoch. */
export interface ScheduledHost extends PoolMember {
  /** End of its maintenance period. */
  dueAt: number;
  /** Latest start at which the hosts due after it still finish on time at an even rate. */
  startAt: number;
  /** Name of the wave; unique for each maintenance of a host. */
  wave: string;
}
