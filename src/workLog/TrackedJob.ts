import type { AcceptedJob, JobProgress } from './WorkLogRecord.js';

/** An accepted job with its cancellation and progress, as read from the work log. */
export interface TrackedJob extends AcceptedJob {
  id: string;
  /** Offset of the record that accepted the job. */
  acceptedOffset: number;
  /** When a caller cancelled the job, in ms since the Unix epoch. */
  cancelledAtMs?: number;
  /** Progress last recorded by the owner. */
  progress?: JobProgress | undefined;
}
