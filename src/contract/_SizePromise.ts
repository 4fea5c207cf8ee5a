import { PoolPromise, type PoolFacts } from './PoolPromise.js';

/** The pool has the hosts that its need and headroom ask for. */
export class SizePromise extends PoolPromise {
  override readonly name = 'size';

  protected override computeMargin({ pool, ledger }: PoolFacts): number {
    return ledger.members - pool.need - pool.headroom;
  }

  protected override explain({ pool, ledger }: PoolFacts): string {
    const target = pool.need + pool.headroom;
    const incoming = ledger.incoming > 0 ? `, ${ledger.incoming} are on their way` : '';
    return `${ledger.members} hosts of ${target}${incoming}; ${target - ledger.members} are lacking`;
  }
}
