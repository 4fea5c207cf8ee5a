import { computeLendingFloor } from './computeLendingFloor.js';
import { computeReturnable } from './computeReturnable.js';
import { computeShortage } from './computeShortage.js';
import {
  LendingPolicy,
  type LendingDecision,
  type LendingMove,
  type PoolLendingState,
} from './LendingPolicy.js';

/**
 * Time for which a loan takes a host out of service. On the way to the borrower and on the way
 * back, the host drains and all sessions confirm it, which takes up to 30 s each way because of the
 * longest job duration. A shortage that has lasted this long is expected to last as long again,
 * which makes the loan worth its cost.
 */
const LOAN_OVERHEAD_MS = 60_000;
/** A borrower returns a host after it has not needed the host for this long. */
const RETURN_AFTER_MS = 600_000;

/** Computes how many hosts a pool can lend while it still covers its own need and budget. */
function computeLendable(lender: PoolLendingState): number {
  if (!lender.pool.lends || lender.borrowed.size > 0 || computeShortage(lender) > 0) return 0;
  return Math.max(0, lender.retained - lender.failed - computeLendingFloor(lender));
}

function computeLendAfterMs({ pool, extra }: PoolLendingState): number {
  const lendAfterMs = pool.lendAfterSeconds * 1_000;
  return extra > 0 ? Math.max(lendAfterMs, LOAN_OVERHEAD_MS) : lendAfterMs;
}

/**
 * Lends hosts to pools with a sustained shortage. Loans are returned when the owner has a shortage
 * or when the borrower has not needed them for a long time.
 *
 * A host counts as not needed only if the borrower would have no shortage without it, so a return
 * never triggers another loan.
 */
export class SustainedShortageLending extends LendingPolicy {
  override plan(pools: readonly PoolLendingState[]): LendingDecision {
    const returns = SustainedShortageLending.#planReturns(pools);
    const lendable = new Map(pools.map((lender) => [lender.pool.name, computeLendable(lender)]));
    const loans: LendingMove[] = [];
    pools.forEach((borrower) => {
      if (borrower.shortageMs < computeLendAfterMs(borrower)) return;
      const to = borrower.pool.name;
      const recalled = returns.filter((move) => move.to === to);
      let missing = computeShortage(borrower) - recalled.reduce((sum, { count }) => sum + count, 0);
      lendable.forEach((available, from) => {
        const count = Math.min(available, missing);
        if (from === to || count <= 0) return;
        loans.push({ from, to, count });
        lendable.set(from, available - count);
        missing -= count;
      });
    });
    return { loans, returns };
  }

  static #planReturns(pools: readonly PoolLendingState[]): LendingMove[] {
    const recalls = new Map(
      pools
        .filter(
          (owner) => owner.lent > 0 && owner.shortageMs >= owner.pool.lendAfterSeconds * 1_000,
        )
        .map((owner) => [owner.pool.name, computeShortage(owner)]),
    );
    return pools.flatMap((borrower) => {
      let spare = borrower.returnableMs >= RETURN_AFTER_MS ? computeReturnable(borrower) : 0;
      return [...borrower.borrowed].flatMap(([to, borrowed]) => {
        const recalled = Math.min(borrowed, recalls.get(to) ?? 0);
        recalls.set(to, (recalls.get(to) ?? 0) - recalled);
        const count = Math.max(recalled, Math.min(borrowed, spare));
        spare = Math.max(0, spare - count);
        return count > 0 ? [{ from: borrower.pool.name, to, count }] : [];
      });
    });
  }
}
