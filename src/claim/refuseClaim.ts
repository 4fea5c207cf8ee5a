import type { ClaimRefusal } from './ClaimAnswer.js';

const RETRY_AFTER_SECONDS = 2;

/** Refuses a job for a temporary reason. This request has sent nothing upstream. */
export function refuseClaim(reason: string): ClaimRefusal {
  const retryAfterSeconds = RETRY_AFTER_SECONDS;
  return { verdict: 'refused', outcome: 'not-run', status: 503, reason, retryAfterSeconds };
}
