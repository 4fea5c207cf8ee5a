import type { JobState } from '../workLog/mod.js';
import type { Finding } from '../finding/mod.js';

/** The answer to a caller, free of any protocol. */
export type CallResponse =
  /** The job is stored and will be carried out. */
  | { type: 'accepted' }
  | { type: 'state'; state: JobState }
  /** Jobs of the queue for which no task has started. */
  | { type: 'waiting'; count: number }
  | { type: 'cancelled' }
  | { type: 'no-queue' }
  | { type: 'no-job' }
  /** Nothing was stored and nothing runs; the caller may come back after the given time. */
  | { type: 'refused'; reason: string; retryAfterMs: number }
  /** The call may have taken effect, or may take effect later. */
  | { type: 'unknown' }
  | { type: 'bad-request'; findings: Finding[] };

/** A caller's call about a queue or a job. */
export interface Call {
  /** Identifies the call in the logs of this node. */
  hostName: string;
  path: string;
}

/** A decoded job, or everything that is wrong with it. */
export type DecodedJob = { job: import('../task/mod.js').JobSpec } | { findings: Finding[] };
