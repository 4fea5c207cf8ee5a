import type { Pool } from '../pool/mod.js';
import type { PoolCounts } from './PoolCounts.js';

/** The data from which the guarantees of a pool are evaluated. */
export interface GuaranteeInput {
  pool: Pool;
  counts: Readonly<PoolCounts>;
  /** Number of hosts that were not maintained within their maintenance period. */
  lateHosts: number;
}

/** The result of evaluating one guarantee. */
export interface GuaranteeResult {
  /** Name of the guarantee. */
  promise: string;
  holds: boolean;
  /** Number of hosts that can still be lost before the guarantee is violated; negative if it is. */
  margin: number;
  /** Why the guarantee is violated; absent while it holds. */
  reason?: string;
}

/** A condition that the system guarantees for a pool. */
export abstract class PoolGuarantee {
  abstract readonly name: string;

  /** Computes how many hosts can still be lost before a violation; negative if violated. */
  protected abstract computeMargin(input: GuaranteeInput): number;

  /** Explains why the guarantee is violated. */
  protected abstract explain(input: GuaranteeInput): string;

  /** Evaluates the guarantee. */
  check(input: GuaranteeInput): GuaranteeResult {
    const margin = this.computeMargin(input);
    const result = { promise: this.name, holds: margin >= 0, margin };
    return result.holds ? result : { ...result, reason: this.explain(input) };
  }
}
