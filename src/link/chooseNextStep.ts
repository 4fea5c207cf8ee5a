import type { Outcome } from '../job/mod.js';
import type { RunResult } from './RunResult.js';

/** Maximum number of times a job is sent. */
export const MAX_ATTEMPTS = 3;

/** State of a job after a run has ended. */
export interface NextStepOptions {
  idempotent: boolean;
  /** Number of runs so far, including this one. */
  attempts: number;
  /** Whether an earlier run may have sent any byte of the request. */
  wasSentEarlier: boolean;
  /** Whether the retry budget allows another retry. */
  hasBudget: boolean;
  /** Whether a host that has not been tried yet has a free slot. */
  hasUntriedHost: boolean;
  /** Time to the deadline in milliseconds. */
  remainingMs: number;
}

/** The step after a run: nothing, a retry on another host, or a problem response to the caller. */
export type NextStep =
  | { next: 'none'; outcome: Outcome }
  | { next: 'retry' }
  | { next: 'problem'; outcome: Outcome; status: number; title: string };

/**
 * Chooses the step after a run. A job is retried after any byte of it may have been sent only if it
 * is idempotent. The outcome `not-run` is reported only if no run has sent a byte.
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
