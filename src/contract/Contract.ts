import { BudgetPromise } from './_BudgetPromise.js';
import { MaintenancePromise } from './_MaintenancePromise.js';
import { NeedPromise } from './_NeedPromise.js';
import { RackLossPromise } from './_RackLossPromise.js';
import { SizePromise } from './_SizePromise.js';
import type { PoolFacts, PoolPromise, PromiseResult } from './PoolPromise.js';

/**
 * What the system promises for a pool.
 *
 * @example
 * ```ts
 * new Contract().check({ pool, ledger, lateHosts: 0 }).filter((one) => !one.holds);
 * ```
 */
export class Contract {
  readonly #promises: readonly PoolPromise[] = [
    new NeedPromise(),
    new SizePromise(),
    new BudgetPromise(),
    new RackLossPromise(),
    new MaintenancePromise(),
  ];

  /** Evaluates each promise. */
  check(facts: PoolFacts): PromiseResult[] {
    return this.#promises.map((promise) => promise.check(facts));
  }
}
