import type { Host, HostState } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import { RackCounts, toRackKey } from '../rack/mod.js';

/** Whether a host can get work now: it is live, and nothing takes it out of service. */
export function isAvailable(state: HostState): boolean {
  return state.phase === 'serving' && state.status === 'live';
}

/**
 * The hosts of one pool, counted for its availability budget.
 *
 * It is derived from the states of the hosts: each change of a host removes the old state and adds
 * the new one, in constant time.
 */
export class PoolLedger {
  /** Hosts that belong to the pool. */
  members = 0;

  /** Members that are failed, leaving, releasing, granted or in maintenance. */
  unavailable = 0;

  /** Members that drain towards another pool or none. */
  releasing = 0;

  /** Hosts of other pools that drain towards this one. */
  incoming = 0;

  #racks = new RackCounts();

  #dataCentres = new RackCounts();

  /** Most available members that share one rack. */
  get largestRack(): number {
    return this.#racks.largest;
  }

  /** Counts the available members in the rack and in the data centre of a host. */
  countNear(host: Host): { rack: number; dataCentre: number } {
    return {
      rack: this.#racks.get(toRackKey(host)),
      dataCentre: this.#dataCentres.get(host.dataCentre),
    };
  }

  /** Counts a member in. */
  add(host: Host, state: HostState): void {
    this.members += 1;
    if (state.phase === 'releasing') this.releasing += 1;
    if (isAvailable(state)) {
      this.#racks.increase(toRackKey(host));
      this.#dataCentres.increase(host.dataCentre);
    } else this.unavailable += 1;
  }

  /** Counts a member out. */
  remove(host: Host, state: HostState): void {
    this.members -= 1;
    if (state.phase === 'releasing') this.releasing -= 1;
    if (isAvailable(state)) {
      this.#racks.decrease(toRackKey(host));
      this.#dataCentres.decrease(host.dataCentre);
    } else this.unavailable -= 1;
  }

  /** Hosts that may still become unavailable; negative when the budget does not hold. */
  computeMargin(pool: Pool): number {
    const atRisk = pool.guardRackLoss ? this.largestRack : 0;
    return pool.availabilityBudget - this.unavailable - atRisk;
  }

  /** Copies the counts, so that a plan can try changes. */
  copy(): PoolLedger {
    const copy = new PoolLedger();
    copy.members = this.members;
    copy.unavailable = this.unavailable;
    copy.releasing = this.releasing;
    copy.incoming = this.incoming;
    copy.#racks = this.#racks.copy();
    copy.#dataCentres = this.#dataCentres.copy();
    return copy;
  }
}
