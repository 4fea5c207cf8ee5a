import { z } from 'zod';
import type { TrackedJob } from './TrackedJob.js';

/** State of a job as reported to callers. */
export const JobState = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']);
export type JobState = z.infer<typeof JobState>;

/**
 * Derives the state of a job from its records in the work log.
 *
 * A final state takes precedence over a cancellation, so a job that finished first stays finished.
 *
 * @example
 * ```ts
 * describeJobState(job); // 'running'
 * ```
 */
export function describeJobState({ progress, cancelledAtMs }: TrackedJob): JobState {
  if (progress !== undefined && progress.state !== 'active') return progress.state;
  if (cancelledAtMs !== undefined) return 'cancelled';
  return progress?.hasBegun === true ? 'running' : 'queued';
}
