import { PoolPromise, type PoolFacts } from './PoolPromise.js';

/** No more hosts are unavailable than the budget allows. */
export class BudgetPromise extends PoolPromise {
  override readonly name = 'availability-budget';

  protected override computeMargin({ pool, ledger }: PoolFacts): number {
    return pool.availabilityBudget - ledger.unavailable;
  }

  protected override explain({ pool, ledger }: PoolFacts): string {
    return `${ledger.unavailable} hosts are unavailable, above the budget of ${pool.availabilityBudget}`;
  }
}
