import { PoolGuarantee, type GuaranteeInput } from './PoolGuarantee.js';

/** The availability budget would still hold if any single rack failed now. */
export class RackLossGuarantee extends PoolGuarantee {
  override readonly name = 'rack-loss';

  protected override computeMargin({ pool, counts }: GuaranteeInput): number {
    return pool.guardRackLoss ? counts.computeMargin(pool) : 0;
  }

  protected override explain({ pool, counts }: GuaranteeInput): string {
    return (
      `${counts.unavailable} hosts are unavailable and one rack holds ${counts.largestRackCount} more; ` +
      `its loss would exceed the budget of ${pool.availabilityBudget}`
    );
  }
}
