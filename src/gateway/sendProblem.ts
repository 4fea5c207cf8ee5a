import type { ServerResponse } from 'node:http';
import type { HeaderMap } from '../link/stripHeaders.js';
import type { Problem } from '../job/mod.js';

/** Header that reports the outcome of a job to the caller. */
export const OUTCOME_HEADER = 'buckthornreach-outcome';

/** Answers a request with an RFC 9457 problem document. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const headers: HeaderMap = {
    'content-type': 'application/problem+json',
    [OUTCOME_HEADER]: problem.outcome,
  };
  if (problem.retryAfterSeconds !== undefined) {
    headers['retry-after'] = String(Math.ceil(problem.retryAfterSeconds));
  }
  response.writeHead(problem.status, headers).end(JSON.stringify(problem));
}
