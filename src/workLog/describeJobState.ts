import { z } from 'zod';
import type { TrackedJob } from './TrackedJob.js';

/** State of a job as callers see it. */
export const JobState = z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']);
export type JobState = z.infer<typeof JobState>;

/**
 * Describes the state of a job from what the book says of it.
 *
 * A job that finished before its cancellation was read stays finished.
 *
 * @example
 * ```ts
 * describeJobState(job); // 'running'
 * ```
 */
export function describeJobState({ progress, cancelledAtMs }: TrackedJob): JobState {
  if (progress !== undefined && progress.state !== 'active') return progress.state;
  if (cancelledAtMs !== undefined) return 'cancelled';
  return progress === undefined ? 'queued' : 'running';
}
