import type { Job } from '../job/mod.js';
import { ForwardedJob } from './ForwardedJob.js';

/** Encodes a job for the header of a forwarded request. `now` is monotonic time. */
export function encodeForwardedJob(job: Job, now: number): string {
  const remainingMs = Math.max(0, job.deadline - now);
  return encodeURIComponent(JSON.stringify(ForwardedJob.parse({ ...job, remainingMs })));
}

/**
 * Decodes the header of a forwarded request; undefined if it is malformed.
 *
 * @param now Monotonic time of this process, to which the remaining time of the job is added.
 */
export function decodeForwardedJob(header: string, now: number): Job | undefined {
  let value: unknown;
  try {
    value = JSON.parse(decodeURIComponent(header));
  } catch {
    return undefined;
  }
  const parsed = ForwardedJob.safeParse(value);
  if (!parsed.success) return undefined;
  const { remainingMs, ...fields } = parsed.data;
  return { ...fields, forwarded: true, arrivedAt: now, deadline: now + remainingMs };
}
