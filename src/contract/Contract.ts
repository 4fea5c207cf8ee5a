import { BudgetGuarantee } from './_BudgetGuarantee.js';
import { MaintenanceGuarantee } from './_MaintenanceGuarantee.js';
import { NeedGuarantee } from './_NeedGuarantee.js';
import { RackLossGuarantee } from './_RackLossGuarantee.js';
import { SizeGuarantee } from './_SizeGuarantee.js';
import type { GuaranteeInput, PoolGuarantee, GuaranteeResult } from './PoolGuarantee.js';

/**
 * The guarantees that the system gives to every pool.
 *
 * @example
 * ```ts
 * new Contract().check({ pool, counts, lateHosts: 0 }).filter((result) => !result.holds);
 * ```
 */
export class Contract {
  readonly #guarantees: readonly PoolGuarantee[] = [
    new NeedGuarantee(),
    new SizeGuarantee(),
    new BudgetGuarantee(),
    new RackLossGuarantee(),
    new MaintenanceGuarantee(),
  ];

  /** Evaluates every guarantee for a pool. */
  check(input: GuaranteeInput): GuaranteeResult[] {
    return this.#guarantees.map((promise) => promise.check(input));
  }
}
