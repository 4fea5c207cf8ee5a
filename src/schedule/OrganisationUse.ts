import type { Capacity } from '../port/mod.js';
import { addResources, computeTaskUse, NO_RESOURCES } from './_ResourceAmount.js';
import type { Run } from './Run.js';

/** What a run was counted for when it was added; its job may change its organisation later. */
interface CountedRun {
  organisation: string;
  /** Pool that the host of the run belonged to. */
  pool: string;
  amount: Readonly<Capacity>;
}

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
  readonly #counted = new Map<Run, CountedRun>();

  readonly #totals = new Map<string, Total>();

  /** Totals of each organisation by pool. */
  readonly #poolTotals = new Map<string, Map<string, Total>>();

  /** Adds a run that has been created. */
  add(run: Run): void {
    const { organisation } = run.unit.step.occurrence.job.tracked;
    if (organisation === undefined) return;
    const amount = computeTaskUse(run.unit.spec);
    const counted = { organisation, pool: run.host.pool, amount };
    this.#counted.set(run, counted);
    this.#change(counted, 1);
  }

  /** Removes a run that can no longer exist; a run that has been removed before is ignored. */
  remove(run: Run): void {
    const counted = this.#counted.get(run);
    if (counted === undefined) return;
    this.#counted.delete(run);
    this.#change(counted, -1);
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

  #change({ organisation, pool, amount }: CountedRun, sign: 1 | -1): void {
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
