import type { AcceptedJob, JobProgress, ProgressPart } from './WorkLogRecord.js';

/** An accepted job with its cancellation and progress, as read from the work log. */
export interface TrackedJob extends Omit<AcceptedJob, 'dataCentre'> {
  id: string;
  /**
   * Offset of the first record that accepted the job; 0 if the job was read from the newest records,
   * which may have replaced that one.
   */
  acceptedOffset: number;
  /** Data centres of all nodes that accepted the job: callers may submit it more than once. */
  dataCentres: readonly string[];
  /** Keys of the records that accepted the job, then of those that cancelled it. */
  recordKeys: readonly string[];
  /** When a caller cancelled the job, in ms since the Unix epoch. */
  cancelledAtMs?: number | undefined;
  /** Progress last recorded by the owner. */
  progress?: JobProgress | undefined;
  /** Parts of the progress that are recorded beside it; see `collectOccurrences`. */
  progressParts?: readonly ProgressPart[];
  /** Keys of the records of these parts. */
  partKeys?: readonly string[];
}
