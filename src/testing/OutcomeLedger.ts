import type { Outcome } from '../job/mod.js';

/** What the callers of a key were told, one entry an arrival. */
type Told = Outcome | 'no answer';

/** A promise to callers that was broken. */
export interface Violation {
  key: string;
  runs: number;
  told: Told[];
  reason: string;
}

/**
 * Compares what callers were told of each idempotency key with how often it ran.
 *
 * @example
 * ```ts
 * ledger.record(key, 'ran');
 * ledger.check({ [key]: 2 })[0]?.reason; // 'ran more than once'
 * ```
 */
export class OutcomeLedger {
  readonly #told = new Map<string, Told[]>();

  /** Number of keys that were sent. */
  get keys(): number {
    return this.#told.size;
  }

  /** Takes note of what one arrival was told. */
  record(key: string, told: Told): void {
    const list = this.#told.get(key) ?? [];
    list.push(told);
    this.#told.set(key, list);
  }

  /** Counts the keys of which a caller was told this. */
  count(told: Told): number {
    return [...this.#told.values()].filter((list) => list.includes(told)).length;
  }

  /** Lists the keys whose runs contradict what their callers were told. */
  check(runsByKey: Readonly<Record<string, number>>): Violation[] {
    return [...this.#told].flatMap(([key, told]) => {
      const runs = runsByKey[key] ?? 0;
      const reason = this.#findReason(runs, told);
      return reason === undefined ? [] : [{ key, runs, told, reason }];
    });
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- belongs to the check.
  #findReason(runs: number, told: Told[]): string | undefined {
    if (runs > 1) return 'ran more than once';
    if (runs === 0 && told.includes('ran')) return 'told "ran" without a run';
    if (runs > 0 && told.every((one) => one === 'not-run')) return 'told "not run" and ran';
    return undefined;
  }
}
