import { PoolPromise, type PoolFacts } from './PoolPromise.js';

/** The budget would hold if any one rack were lost now. */
export class RackLossPromise extends PoolPromise {
  override readonly name = 'rack-loss';

  protected override computeMargin({ pool, ledger }: PoolFacts): number {
    return pool.guardRackLoss ? ledger.computeMargin(pool) : 0;
  }

  protected override explain({ pool, ledger }: PoolFacts): string {
    return (
      `${ledger.unavailable} hosts are unavailable and one rack holds ${ledger.largestRack} more; ` +
      `its loss would exceed the budget of ${pool.availabilityBudget}`
    );
  }
}
