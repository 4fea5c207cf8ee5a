import type { Pool } from '../pool/mod.js';
import type { PoolLedger } from './PoolLedger.js';

/** What the promises of a pool are evaluated on. */
export interface PoolFacts {
  pool: Pool;
  ledger: Readonly<PoolLedger>;
  /** Hosts that were not maintained within their period. */
  lateHosts: number;
}

/** Whether a promise holds; `margin` is the number of hosts left before it breaks. */
export interface PromiseResult {
  promise: string;
  holds: boolean;
  margin: number;
  /** Why it does not hold. */
  reason?: string;
}

/** One thing that the system promises for a pool. */
export abstract class PoolPromise {
  abstract readonly name: string;

  /** Computes how many more hosts may be lost before the promise breaks; negative if broken. */
  protected abstract computeMargin(facts: PoolFacts): number;

  /** Explains why the promise does not hold. */
  protected abstract explain(facts: PoolFacts): string;

  /** Evaluates the promise. */
  check(facts: PoolFacts): PromiseResult {
    const margin = this.computeMargin(facts);
    const result = { promise: this.name, holds: margin >= 0, margin };
    return result.holds ? result : { ...result, reason: this.explain(facts) };
  }
}
