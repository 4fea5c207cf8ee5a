import { PoolCounts } from '../contract/mod.js';
import { isPartitionSuspected, type PartitionCounts } from '../dataCentre/mod.js';
import type { Host, HostState } from '../host/mod.js';

interface DataCentreCounts extends PartitionCounts {
  hosts: number;
}

/**
 * Host counters by pool and by data centre. They are derived from the host states: rebuilt on
 * restore and not part of the snapshot.
 */
export class FleetIndex {
  readonly #pools = new Map<string, PoolCounts>();

  readonly #dataCentres = new Map<string, DataCentreCounts>();

  /** Copies the counters, so that a plan can try changes on them. */
  copy(): FleetIndex {
    const copy = new FleetIndex();
    this.#pools.forEach((ledger, pool) => copy.#pools.set(pool, ledger.copy()));
    this.#dataCentres.forEach((counts, name) => copy.#dataCentres.set(name, { ...counts }));
    return copy;
  }

  /** Adds a host with the given state to the counters. */
  add(host: Host, state: HostState): void {
    const counts = this.#dataCentres.get(host.dataCentre) ?? { hosts: 0, live: 0, expected: 0 };
    counts.hosts += 1;
    if (state.status === 'live') counts.live += 1;
    if (state.phase !== 'maintenance') counts.expected += 1;
    this.#dataCentres.set(host.dataCentre, counts);
    if (state.pool !== undefined) this.#getOrCreateLedger(state.pool).add(host, state);
    if (state.toPool !== undefined) this.#getOrCreateLedger(state.toPool).incoming += 1;
  }

  /** Removes a host from the counters. `state` must be the state it was added with. */
  remove(host: Host, state: HostState): void {
    const counts = this.#dataCentres.get(host.dataCentre);
    if (counts !== undefined) {
      counts.hosts -= 1;
      if (state.status === 'live') counts.live -= 1;
      if (state.phase !== 'maintenance') counts.expected -= 1;
    }
    if (state.pool !== undefined) this.#getOrCreateLedger(state.pool).remove(host, state);
    if (state.toPool !== undefined) this.#getOrCreateLedger(state.toPool).incoming -= 1;
  }

  /** Returns the counters of a pool; all are 0 for a pool without hosts. */
  getLedger(pool: string): Readonly<PoolCounts> {
    return this.#pools.get(pool) ?? new PoolCounts();
  }

  /** Returns the number of hosts configured in a data centre. */
  countHosts(dataCentre: string): number {
    return this.#dataCentres.get(dataCentre)?.hosts ?? 0;
  }

  /** Returns whether a data centre is suspected to be partitioned. */
  isPartitionSuspected(dataCentre: string): boolean {
    const counts = this.#dataCentres.get(dataCentre);
    return counts !== undefined && isPartitionSuspected(counts);
  }

  /** Lists the data centres that are suspected to be partitioned, sorted by name. */
  listSuspectedPartitions(): string[] {
    return [...this.#dataCentres.keys()].filter((name) => this.isPartitionSuspected(name)).sort();
  }

  #getOrCreateLedger(pool: string): PoolCounts {
    const ledger = this.#pools.get(pool) ?? new PoolCounts();
    this.#pools.set(pool, ledger);
    return ledger;
  }
}
