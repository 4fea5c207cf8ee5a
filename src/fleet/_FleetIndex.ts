import { PoolCounts } from '../contract/mod.js';
import { isPartitionSuspected, type PartitionCounts } from '../dataCentre/mod.js';
import type { Host, HostState } from '../host/mod.js';

interface DataCentreCounts extends PartitionCounts {
  hosts: number;
}

/** Counters over the states of the hosts. Derived data: rebuilt on restore, not in the snapshot. */
export class FleetIndex {
  readonly #pools = new Map<string, PoolCounts>();

  readonly #dataCentres = new Map<string, DataCentreCounts>();

  /** Copies the counters, so that a plan can try changes. */
  copy(): FleetIndex {
    const copy = new FleetIndex();
    this.#pools.forEach((ledger, pool) => copy.#pools.set(pool, ledger.copy()));
    this.#dataCentres.forEach((counts, name) => copy.#dataCentres.set(name, { ...counts }));
    return copy;
  }

  /** Counts a host in with its state. */
  add(host: Host, state: HostState): void {
    const counts = this.#dataCentres.get(host.dataCentre) ?? { hosts: 0, live: 0, expected: 0 };
    counts.hosts += 1;
    if (state.status === 'live') counts.live += 1;
    if (state.phase !== 'maintenance') counts.expected += 1;
    this.#dataCentres.set(host.dataCentre, counts);
    if (state.pool !== undefined) this.#openLedger(state.pool).add(host, state);
    if (state.toPool !== undefined) this.#openLedger(state.toPool).incoming += 1;
  }

  /** Counts a host out with the state that it was counted in with. */
  remove(host: Host, state: HostState): void {
    const counts = this.#dataCentres.get(host.dataCentre);
    if (counts !== undefined) {
      counts.hosts -= 1;
      if (state.status === 'live') counts.live -= 1;
      if (state.phase !== 'maintenance') counts.expected -= 1;
    }
    if (state.pool !== undefined) this.#openLedger(state.pool).remove(host, state);
    if (state.toPool !== undefined) this.#openLedger(state.toPool).incoming -= 1;
  }

  /** Finds the counts of a pool; a pool without hosts has zeros. */
  getLedger(pool: string): Readonly<PoolCounts> {
    return this.#pools.get(pool) ?? new PoolCounts();
  }

  /** Counts the hosts that are configured in a data centre. */
  countHosts(dataCentre: string): number {
    return this.#dataCentres.get(dataCentre)?.hosts ?? 0;
  }

  /** Whether all hosts of a data centre have disappeared, so that a partition is suspected. */
  isPartitionSuspected(dataCentre: string): boolean {
    const counts = this.#dataCentres.get(dataCentre);
    return counts !== undefined && isPartitionSuspected(counts);
  }

  /** Lists the data centres that are suspected to be partitioned. */
  listSuspected(): string[] {
    return [...this.#dataCentres.keys()].filter((name) => this.isPartitionSuspected(name)).sort();
  }

  #openLedger(pool: string): PoolCounts {
    const ledger = this.#pools.get(pool) ?? new PoolCounts();
    this.#pools.set(pool, ledger);
    return ledger;
  }
}
