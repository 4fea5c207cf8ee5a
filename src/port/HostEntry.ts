/** Total resources of a host. */
export interface Capacity {
  cpuMilli: number;
  memoryMb: number;
  accelerators: number;
}

/** Registration that a host writes to the store about itself. */
export interface HostEntry {
  id: string;
  pool: string;
  address: string;
  dataCentre: string;
  state: 'ready' | 'draining';
  /** All labels, including the rack label. */
  labels: string[];
  /** Label that identifies the rack; undefined if there is none. */
  rack: string | undefined;
  capacity: Capacity;
  /** Reading of the host's monotonic clock when it wrote the entry, in ms. */
  clockMs: number | undefined;
  /** Start time of this incarnation of the host, in ms since the Unix epoch. */
  startedAtMs: number | undefined;
  /** Machine that the host runs on; undefined if the entry does not name it. */
  machine: string | undefined;
  /** Minimum time in ms for which a draining host continues to serve. */
  remainingMs: number | undefined;
}

/** A change to the host list. */
export type HostRecord =
  | { type: 'entry'; entry: HostEntry }
  | { type: 'gone'; id: string }
  /** The entry could not be decoded, so it names no usable host. */
  | { type: 'unknown'; id: string; reason: string };
