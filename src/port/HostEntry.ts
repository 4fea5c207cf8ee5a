/** What a host can run at once. */
export interface Capacity {
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
}

/** What a host says of itself in the store. */
export interface HostEntry {
  id: string;
  pool: string;
  address: string;
  dataCentre: string;
  state: 'ready' | 'draining';
  /** Labels, the rack among them. */
  labels: string[];
  /** The label that names the rack; undefined when there is none. */
  rack: string | undefined;
  capacity: Capacity;
  /** The host's steady clock when it wrote the entry, in ms. */
  clockMs: number | undefined;
  /** When this life of the host began, ms since 1970. */
  startedAtMs: number | undefined;
  /** Machine that carries the host; undefined when the entry does not say. */
  machine: string | undefined;
  /** While it drains: the least time in ms that it goes on serving. */
  remainingMs: number | undefined;
}

/** A change of the list of hosts. */
export type HostRecord =
  | { type: 'entry'; entry: HostEntry }
  | { type: 'gone'; id: string }
  /** An entry that cannot be read names no host to use. */
  | { type: 'unknown'; id: string; reason: string };
