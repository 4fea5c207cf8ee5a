import { computeFloor } from './computeFloor.js';
import { computeReturnable } from './computeReturnable.js';
import { computeShortage } from './computeShortage.js';
import {
  LendingPolicy,
  type LendingDecision,
  type LendingMove,
  type LendingPool,
} from './LendingPolicy.js';

/**
 * What a loan costs: the drain of the host and the confirmation of all sessions, on the way there
 * and back, up to 30 s each by the longest job time. A shortage that has lasted for this long can be
 * expected to last for as long again, which pays for the loan.
 */
const LOAN_COST_MS = 60_000;
/** A borrower that could do without its loan for this long gives it back. */
const RETURN_AFTER_MS = 600_000;

/** Hosts that a pool can lend and still keep its own need and budget. */
function computeLendable(lender: LendingPool): number {
  if (!lender.pool.lends || lender.borrowed.size > 0 || computeShortage(lender) > 0) return 0;
  return Math.max(0, lender.staying - lender.failed - computeFloor(lender));
}

function computeLendAfterMs({ pool, extra }: LendingPool): number {
  const lendAfterMs = pool.lendAfterSeconds * 1_000;
  return extra > 0 ? Math.max(lendAfterMs, LOAN_COST_MS) : lendAfterMs;
}

/**
 * Lends for shortages that last, and takes loans back when the owner is short or the borrower has
 * been calm for long.
 *
 * A pool is calm only when it would not be short without the host that it gives back, so a return
 * never causes the next loan.
 */
export class LastingLending extends LendingPolicy {
  override plan(pools: readonly LendingPool[]): LendingDecision {
    const returns = LastingLending.#planReturns(pools);
    const lendable = new Map(pools.map((one) => [one.pool.name, computeLendable(one)]));
    const loans: LendingMove[] = [];
    pools.forEach((borrower) => {
      if (borrower.shortMs < computeLendAfterMs(borrower)) return;
      const to = borrower.pool.name;
      const recalled = returns.filter((one) => one.to === to);
      let missing = computeShortage(borrower) - recalled.reduce((sum, { count }) => sum + count, 0);
      lendable.forEach((most, from) => {
        const count = Math.min(most, missing);
        if (from === to || count <= 0) return;
        loans.push({ from, to, count });
        lendable.set(from, most - count);
        missing -= count;
      });
    });
    return { loans, returns };
  }

  static #planReturns(pools: readonly LendingPool[]): LendingMove[] {
    const recalls = new Map(
      pools
        .filter((one) => one.lent > 0 && one.shortMs >= one.pool.lendAfterSeconds * 1_000)
        .map((one) => [one.pool.name, computeShortage(one)]),
    );
    return pools.flatMap((borrower) => {
      let spare = borrower.calmMs >= RETURN_AFTER_MS ? computeReturnable(borrower) : 0;
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
