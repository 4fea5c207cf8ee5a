import type { HostEntry, Machine } from '../port/mod.js';
import { ManagedHost } from './ManagedHost.js';

/** The hosts of a shard, one entry per incarnation, and the machines that they run on. */
export class HostTable {
  readonly #hosts = new Map<string, ManagedHost>();

  #machines = new Map<string, Machine>();

  #machinesReadAt = -Infinity;

  get hosts(): IterableIterator<ManagedHost> {
    return this.#hosts.values();
  }

  get size(): number {
    return this.#hosts.size;
  }

  get machines(): ReadonlyMap<string, Machine> {
    return this.#machines;
  }

  /** Monotonic time at which the machine list was requested; `-Infinity` before the first one. */
  get machinesReadAt(): number {
    return this.#machinesReadAt;
  }

  /** Finds a host by the identifier of its incarnation. */
  get(id: string): ManagedHost | undefined {
    return this.#hosts.get(id);
  }

  /** Adds a host, or updates it with an entry of its last known incarnation. */
  update(entry: HostEntry, now: number): ManagedHost {
    const known = this.#hosts.get(entry.id);
    if (known === undefined) return this.#add(entry, now);
    known.updateEntry(entry);
    return known;
  }

  /** Adds a host that only the machine list names: it may have runs, and its address is unknown. */
  addUnlisted(machine: Machine & { hostId: string }, now: number): ManagedHost {
    const host = this.#add(
      {
        id: machine.hostId,
        pool: machine.pool,
        address: '',
        dataCentre: machine.dataCentre,
        state: 'draining',
        labels: [],
        rack: undefined,
        capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
        clockMs: undefined,
        startedAtMs: undefined,
        machine: machine.name,
        remainingMs: undefined,
      },
      now,
    );
    host.isListed = false;
    return host;
  }

  /** Removes an incarnation that has ended. */
  remove(host: ManagedHost): void {
    if (this.#hosts.get(host.id) === host) this.#hosts.delete(host.id);
  }

  /** Replaces the machine list. */
  setMachines(machines: readonly Machine[], readAt: number): void {
    this.#machines = new Map(machines.map((machine) => [machine.name, machine]));
    this.#machinesReadAt = readAt;
    machines.forEach(({ name, hostId }) => {
      const host = hostId === undefined ? undefined : this.#hosts.get(hostId);
      if (host !== undefined) host.entry.machine = name;
    });
  }

  /** Indexes the listed hosts by machine. */
  collectByMachine(): Map<string, ManagedHost> {
    const index = new Map<string, ManagedHost>();
    this.#hosts.forEach((host) => {
      if (host.isListed && !host.hasEnded) index.set(host.machine, host);
    });
    return index;
  }

  /** Lists the hosts of a pool. */
  listInPool(pool: string): ManagedHost[] {
    return [...this.#hosts.values()].filter((host) => host.pool === pool);
  }

  /** Checks whether the machine list proves that an incarnation has ended. */
  isProvenEnded(host: ManagedHost): boolean {
    for (const machine of this.#machines.values()) {
      if (machine.hostId === host.id) return machine.state !== 'up';
    }
    return true;
  }

  #add(entry: HostEntry, now: number): ManagedHost {
    const host = new ManagedHost(entry, now);
    this.#hosts.set(entry.id, host);
    return host;
  }
}
