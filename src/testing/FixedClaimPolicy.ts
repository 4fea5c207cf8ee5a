import { ClaimPolicy, type ClaimAnswer } from '../claim/mod.js';

/** Gives the same answer for every job. */
export class FixedClaimPolicy extends ClaimPolicy {
  readonly #answer: ClaimAnswer;

  constructor(answer: ClaimAnswer) {
    super();
    this.#answer = answer;
  }

  override async authorize(): Promise<ClaimAnswer> {
    return this.#answer;
  }
}
