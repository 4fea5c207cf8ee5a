import type { Capacity } from '../port/mod.js';
import { addResources, computeTaskUse, NO_RESOURCES } from './_ResourceAmount.js';
import type { Run } from './Run.js';

interface Total {
  runs: number;
  amount: Capacity;
}

/**
 * Resources of the runs that each organisation may have on the hosts known to this owner: runs that
 * are starting, running, stopping or uncertain.
 *
 * The totals are updated when a run is created or released, since the owner asks for them for each
 * waiting step, every few ms.
 *
 * @example
 * ```ts
 * use.add(run);
 * use.measure('atelier-nord').cpuMilli; // 500
 * ```
 */
export class OrganisationUse {
  /** Counted runs with the pool that their host belonged to when they were created. */
  readonly #pools = new Map<Run, string>();

  readonly #totals = new Map<string, Total>();

  /** Totals of each organisation by pool. */
  readonly #poolTotals = new Map<string, Map<string, Total>>();

  #version = 0;

  /** Changes whenever the use of an organisation changes. */
  get version(): number {
    return this.#version;
  }

  /** Adds a run that has been created. */
  add(run: Run): void {
    if (run.unit.step.occurrence.job.tracked.organisation === undefined) return;
    this.#pools.set(run, run.host.pool);
    this.#change(run, run.host.pool, 1);
  }

  /** Removes a run that can no longer exist; a run that has been removed before is ignored. */
  remove(run: Run): void {
    const pool = this.#pools.get(run);
    if (pool === undefined) return;
    this.#pools.delete(run);
    this.#change(run, pool, -1);
  }

  /** Lists the organisations with runs. */
  list(): string[] {
    return [...this.#totals.keys()];
  }

  /** Measures the resources of an organisation in all pools. */
  measure(organisation: string): Readonly<Capacity> {
    return this.#totals.get(organisation)?.amount ?? NO_RESOURCES;
  }

  /** Measures the resources of an organisation on the hosts of a pool. */
  measureInPool(organisation: string, pool: string): Readonly<Capacity> {
    return this.#poolTotals.get(pool)?.get(organisation)?.amount ?? NO_RESOURCES;
  }

  #change({ unit }: Run, pool: string, sign: 1 | -1): void {
    const { organisation } = unit.step.occurrence.job.tracked;
    if (organisation === undefined) return;
    this.#version += 1;
    const amount = computeTaskUse(unit.spec);
    const inPool = this.#poolTotals.get(pool) ?? new Map<string, Total>();
    this.#poolTotals.set(pool, inPool);
    [this.#totals, inPool].forEach((totals) => {
      const total = totals.get(organisation) ?? { runs: 0, amount: NO_RESOURCES };
      const runs = total.runs + sign;
      // The removal of the last run also removes rounding errors of the sum.
      if (runs === 0) totals.delete(organisation);
      else totals.set(organisation, { runs, amount: addResources(total.amount, amount, sign) });
    });
  }
}
