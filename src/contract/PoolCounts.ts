import type { Host, HostState } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import { RackCounts, toRackKey } from '../rack/mod.js';

/** Whether a host can receive work: it is live and in service. */
export function isAvailable(state: HostState): boolean {
  return state.phase === 'serving' && state.status === 'live';
}

function isFailed({ phase, status }: HostState): boolean {
  return status !== 'live' && phase !== 'releasing' && phase !== 'maintenance';
}

/**
 * Host counts of one pool, from which its availability budget is checked.
 *
 * The counts are derived from host states: when a state changes, the old one is removed and the new
 * one is added, in constant time.
 */
export class PoolCounts {
  /** Hosts that belong to the pool. */
  members = 0;

  /** Members that are failed, leaving, releasing, granted or in maintenance. */
  unavailable = 0;

  /** Members that are not live, except those that are being released or are in maintenance. */
  failed = 0;

  /** Members that are draining before they move to another pool or become unassigned. */
  releasing = 0;

  /** Hosts of other pools that are draining before they join this pool. */
  incoming = 0;

  #racks = new RackCounts();

  #dataCentres = new RackCounts();

  /** Largest number of available members in a single rack. */
  get largestRackCount(): number {
    return this.#racks.largest;
  }

  /** Counts the available members in the same rack and in the same data centre as a host. */
  countColocated(host: Host): { rack: number; dataCentre: number } {
    return {
      rack: this.#racks.get(toRackKey(host)),
      dataCentre: this.#dataCentres.get(host.dataCentre),
    };
  }

  /** Adds a member in the given state to the counts. */
  add(host: Host, state: HostState): void {
    this.members += 1;
    if (state.phase === 'releasing') this.releasing += 1;
    if (isFailed(state)) this.failed += 1;
    if (isAvailable(state)) {
      this.#racks.increase(toRackKey(host));
      this.#dataCentres.increase(host.dataCentre);
    } else this.unavailable += 1;
  }

  /** Removes a member from the counts; `state` must be the one with which it was added. */
  remove(host: Host, state: HostState): void {
    this.members -= 1;
    if (state.phase === 'releasing') this.releasing -= 1;
    if (isFailed(state)) this.failed -= 1;
    if (isAvailable(state)) {
      this.#racks.decrease(toRackKey(host));
      this.#dataCentres.decrease(host.dataCentre);
    } else this.unavailable -= 1;
  }

  /** Computes how many more hosts may become unavailable; negative if the budget is exceeded. */
  computeMargin(pool: Pool): number {
    const atRisk = pool.guardRackLoss ? this.largestRackCount : 0;
    return pool.availabilityBudget - this.unavailable - atRisk;
  }

  /** Copies the counts, so that a planner can try changes on the copy. */
  copy(): PoolCounts {
    const copy = new PoolCounts();
    copy.members = this.members;
    copy.unavailable = this.unavailable;
    copy.failed = this.failed;
    copy.releasing = this.releasing;
    copy.incoming = this.incoming;
    copy.#racks = this.#racks.copy();
    copy.#dataCentres = this.#dataCentres.copy();
    return copy;
  }
}
