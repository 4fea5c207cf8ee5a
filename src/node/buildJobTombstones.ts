import { WorkLogKey, type TrackedJob } from '../workLog/mod.js';
import type { KeyedValue } from '../port/mod.js';

/**
 * Builds the tombstones that remove a job from the work log. The job itself comes first, since a
 * job without its final state would count as not started.
 *
 * @example
 * ```ts
 * buildJobTombstones({ id: '5c0e', recordKeys: ['accepted-job/5c0e/bzh-a'] }).map(({ key }) => key);
 * // ['accepted-job/5c0e/bzh-a', 'cancel/5c0e', 'progress/5c0e']
 * ```
 */
export function buildJobTombstones({
  id,
  recordKeys,
  partKeys = [],
}: Pick<TrackedJob, 'id' | 'recordKeys' | 'partKeys'>): KeyedValue[] {
  const keys = new Set([
    ...recordKeys,
    ...partKeys,
    WorkLogKey.cancel(id),
    WorkLogKey.progress(id),
  ]);
  return [...keys].map((key) => ({ key, value: undefined }));
}
