import type { JobState } from '../workLog/mod.js';
import type { Finding } from '../finding/mod.js';

/** Response to a call, independent of the protocol. */
export type CallResponse =
  /** The job is stored and will be run. */
  | { type: 'accepted' }
  | { type: 'state'; state: JobState }
  /** Number of jobs of the queue of which no task has started. */
  | { type: 'waiting'; count: number }
  | { type: 'cancelled' }
  | { type: 'no-queue' }
  | { type: 'no-job' }
  /** Nothing was stored and nothing will run; the caller may retry after the given time. */
  | { type: 'refused'; reason: string; retryAfterMs: number }
  /** The call has no API key, or one that the current configuration does not contain. */
  | { type: 'unauthorized' }
  /** The job belongs to another organisation than the API key. */
  | { type: 'forbidden' }
  /** Refused since the organisation exceeds its rate; nothing was stored and nothing will run. */
  | { type: 'over-limit'; reason: string; retryAfterMs: number }
  /** The call may have taken effect or may still take effect. */
  | { type: 'unknown' }
  | { type: 'bad-request'; findings: Finding[] };

/** A call about a queue or a job. */
export interface Call {
  /** Host name to which the call was addressed. */
  hostName: string;
  path: string;
}

/** A decoded job, or all findings about an invalid one. */
export type DecodedJob = { job: import('../task/mod.js').JobSpec } | { findings: Finding[] };
