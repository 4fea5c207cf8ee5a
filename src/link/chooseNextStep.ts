import type { Outcome } from '../job/mod.js';
import type { RunResult } from './RunResult.js';

/** A job is sent at most this many times. */
export const MAX_ATTEMPTS = 3;

/** What is known of a job when a run has ended. */
export interface NextStepOptions {
  idempotent: boolean;
  /** Runs so far, with this one. */
  attempts: number;
  /** Whether an earlier run may have sent a byte. */
  wasSentEarlier: boolean;
  /** Whether the retry budget allows one more. */
  hasBudget: boolean;
  /** Whether a host that was not tried yet has a free slot. */
  hasUntriedHost: boolean;
  /** Time to the deadline in milliseconds. */
  remainingMs: number;
}

/** What follows a run: nothing, a run on another host, or a problem for the caller. */
export type NextStep =
  | { next: 'none'; outcome: Outcome }
  | { next: 'retry' }
  | { next: 'problem'; outcome: Outcome; status: number; title: string };

/**
 * Decides what follows a run. A job of which a byte may have left is run again only if it is
 * idempotent, and "not run" is stated only if no run sent a byte.
 */
export function chooseNextStep(result: RunResult, options: NextStepOptions): NextStep {
  const mayHaveRun = result.sent || options.wasSentEarlier;
  const failedOutcome = mayHaveRun ? 'unknown' : 'not-run';
  if (result.end === 'answered')
    return { next: 'none', outcome: result.leaving ? 'unknown' : 'ran' };
  if (result.end === 'abandoned' || result.begun) return { next: 'none', outcome: failedOutcome };
  if (result.end === 'invalid') {
    const title = 'The request is not valid';
    return { next: 'problem', outcome: failedOutcome, status: 400, title };
  }
  const isRetrySafe = options.idempotent || !mayHaveRun;
  const isRetryPossible = options.hasUntriedHost && options.hasBudget && options.remainingMs > 0;
  if (isRetrySafe && isRetryPossible && options.attempts < MAX_ATTEMPTS) return { next: 'retry' };
  if (result.end === 'timeout') {
    return {
      next: 'problem',
      outcome: failedOutcome,
      status: 504,
      title: 'The deadline has passed',
    };
  }
  if (!mayHaveRun) {
    const title = 'No connection to an upstream host could be opened';
    return { next: 'problem', outcome: 'not-run', status: 503, title };
  }
  return {
    next: 'problem',
    outcome: 'unknown',
    status: 502,
    title: 'The upstream host gave no complete answer',
  };
}
