import type { AcceptedJob, JobProgress } from './WorkLogRecord.js';

/** A job as the book knows it. */
export interface TrackedJob extends AcceptedJob {
  id: string;
  /** Offset of the record by which it was accepted. */
  acceptedOffset: number;
  /** When a caller cancelled it, ms since 1970. */
  cancelledAtMs?: number;
  /** What the owner last recorded of it. */
  progress?: JobProgress;
}
