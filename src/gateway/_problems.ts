import type { ClaimRefusal } from '../claim/mod.js';
import type { ShedReason } from '../admission/mod.js';
import type { ForwardResult } from '../link/mod.js';
import type { Problem } from '../job/mod.js';

const SHED_TITLES: Record<ShedReason, string> = {
  'queue-full': 'The queue of the service is full',
  deadline: 'The job could not be finished before its deadline',
  'urgent-start': 'The job could not be started in time for urgent work',
  displaced: 'More urgent work took the place of the job',
};
const MS_PER_SECOND = 1_000;

/** Builds the problem for a job that was shed before it ran. */
export function buildShedProblem(reason: ShedReason, waitMs = MS_PER_SECOND): Problem {
  return {
    type: 'about:blank',
    title: SHED_TITLES[reason],
    status: 503,
    outcome: 'not-run',
    detail: reason,
    retryAfterSeconds: Math.max(1, waitMs / MS_PER_SECOND),
  };
}

/** Builds the problem for a request whose path matches no service. */
export function buildUnknownPathProblem(path: string): Problem {
  const title = `No service for the path "${path}"`;
  return { type: 'about:blank', title, status: 404, outcome: 'not-run', field: 'path' };
}

/** Builds the problem for a job that no upstream host can run. */
export function buildUnavailableProblem(detail: string): Problem {
  const title = 'No upstream host of the service can run the job';
  return { type: 'about:blank', title, status: 503, outcome: 'not-run', detail };
}

/** Builds the problem for a forwarded job that the other gateway did not answer. */
export function buildForwardProblem({ sent, outcome, detail }: ForwardResult): Problem {
  return {
    type: 'about:blank',
    title: 'The job could not be forwarded to another gateway',
    status: sent ? 502 : 503,
    outcome,
    detail,
    retryAfterSeconds: 1,
  };
}

/** Builds the problem for a job whose claim was refused. */
export function buildClaimProblem(refusal: ClaimRefusal): Problem {
  const { outcome, status, reason, retryAfterSeconds } = refusal;
  const title = 'The idempotency key does not allow the job to run';
  return { type: 'about:blank', title, status, outcome, detail: reason, retryAfterSeconds };
}
