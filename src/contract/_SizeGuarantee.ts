import { PoolGuarantee, type GuaranteeInput } from './PoolGuarantee.js';

/** The pool has as many members as its need and headroom require. */
export class SizeGuarantee extends PoolGuarantee {
  override readonly name = 'size';

  protected override computeMargin({ pool, counts }: GuaranteeInput): number {
    return counts.members - pool.need - pool.headroom;
  }

  protected override explain({ pool, counts }: GuaranteeInput): string {
    const target = pool.need + pool.headroom;
    const incoming = counts.incoming > 0 ? `, ${counts.incoming} are on their way` : '';
    return `${counts.members} hosts of ${target}${incoming}; ${target - counts.members} are lacking`;
  }
}
