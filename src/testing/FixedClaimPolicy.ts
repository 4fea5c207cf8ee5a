import { ClaimPolicy, type ClaimAnswer, type ClaimLocation } from '../claim/mod.js';
import type { Job, Outcome } from '../job/mod.js';

/** Returns the same answer for every job and records the outcomes. */
export class FixedClaimPolicy extends ClaimPolicy {
  readonly #answer: ClaimAnswer;

  /** Outcomes of granted jobs in the order of completion. */
  readonly outcomes: Outcome[] = [];

  constructor(answer: ClaimAnswer) {
    super();
    this.#answer = answer;
  }

  override async locate(): Promise<ClaimLocation> {
    return { verdict: 'here' };
  }

  override async authorize(): Promise<ClaimAnswer> {
    return this.#answer;
  }

  override recordOutcome(_: Job, outcome: Outcome): void {
    this.outcomes.push(outcome);
  }
}
