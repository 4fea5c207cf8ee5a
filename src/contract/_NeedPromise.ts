import { PoolPromise, type PoolFacts } from './PoolPromise.js';

/** The available hosts cover the need of the load. */
export class NeedPromise extends PoolPromise {
  override readonly name = 'need';

  protected override computeMargin({ pool, ledger }: PoolFacts): number {
    return ledger.members - ledger.unavailable - pool.need;
  }

  protected override explain({ pool, ledger }: PoolFacts): string {
    return `${ledger.members - ledger.unavailable} hosts are available, ${pool.need} are needed`;
  }
}
