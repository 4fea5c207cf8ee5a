import type { ClaimAnswer, ClaimLocation } from './ClaimAnswer.js';
import { ClaimPolicy } from './ClaimPolicy.js';

/** Grants every job; for a single gateway in tests. */
export class GrantAllClaimPolicy extends ClaimPolicy {
  override async locate(): Promise<ClaimLocation> {
    return { verdict: 'here' };
  }

  override async authorize(): Promise<ClaimAnswer> {
    return { verdict: 'granted' };
  }

  override recordOutcome(): void {
    // Nothing is remembered.
  }
}
