import { PoolGuarantee, type GuaranteeInput } from './PoolGuarantee.js';

/** The number of unavailable hosts does not exceed the availability budget. */
export class BudgetGuarantee extends PoolGuarantee {
  override readonly name = 'availability-budget';

  protected override computeMargin({ pool, counts }: GuaranteeInput): number {
    return pool.availabilityBudget - counts.unavailable;
  }

  protected override explain({ pool, counts }: GuaranteeInput): string {
    return `${counts.unavailable} hosts are unavailable, above the budget of ${pool.availabilityBudget}`;
  }
}
