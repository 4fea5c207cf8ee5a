import type { Outcome } from '../job/mod.js';

/** Outcome that one response reported, or that there was no response. */
type ReportedOutcome = Outcome | 'no answer';

/** A key whose runs contradict the reported outcomes. */
export interface Violation {
  key: string;
  runs: number;
  reported: ReportedOutcome[];
  reason: string;
}

/**
 * Compares the outcomes that callers received for each idempotency key with its number of runs.
 *
 * @example
 * ```ts
 * checker.record(key, 'ran');
 * checker.check({ [key]: 2 })[0]?.reason; // 'ran more than once'
 * ```
 */
export class OutcomeChecker {
  readonly #reportedOutcomes = new Map<string, ReportedOutcome[]>();

  /** Number of keys with at least one recorded outcome. */
  get keys(): number {
    return this.#reportedOutcomes.size;
  }

  /** Records the outcome of one attempt. */
  record(key: string, outcome: ReportedOutcome): void {
    const list = this.#reportedOutcomes.get(key) ?? [];
    list.push(outcome);
    this.#reportedOutcomes.set(key, list);
  }

  /** Counts the keys for which a caller received this outcome at least once. */
  count(outcome: ReportedOutcome): number {
    return [...this.#reportedOutcomes.values()].filter((list) => list.includes(outcome)).length;
  }

  /** Lists the keys whose runs contradict the reported outcomes. */
  check(runsByKey: Readonly<Record<string, number>>): Violation[] {
    return [...this.#reportedOutcomes].flatMap(([key, reported]) => {
      const runs = runsByKey[key] ?? 0;
      const reason = this.#findViolation(runs, reported);
      return reason === undefined ? [] : [{ key, runs, reported, reason }];
    });
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- only `check` uses it.
  #findViolation(runs: number, reported: ReportedOutcome[]): string | undefined {
    if (runs > 1) return 'ran more than once';
    if (runs === 0 && reported.includes('ran')) return 'reported as "ran" but never ran';
    if (runs > 0 && reported.every((one) => one === 'not-run'))
      return 'reported only as "not-run" but ran';
    return undefined;
  }
}
