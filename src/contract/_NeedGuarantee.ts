import { PoolGuarantee, type GuaranteeInput } from './PoolGuarantee.js';

/** Enough hosts are available to cover the need of the pool. */
export class NeedGuarantee extends PoolGuarantee {
  override readonly name = 'need';

  protected override computeMargin({ pool, counts }: GuaranteeInput): number {
    return counts.members - counts.unavailable - pool.need;
  }

  protected override explain({ pool, counts }: GuaranteeInput): string {
    return `${counts.members - counts.unavailable} hosts are available, ${pool.need} are needed`;
  }
}
