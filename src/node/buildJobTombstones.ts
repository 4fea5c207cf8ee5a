import { WorkLogKey } from '../workLog/mod.js';
import type { KeyedValue } from '../port/mod.js';

/**
 * Builds the tombstones that remove a job from the work log. The job itself comes first, since a
 * job without its final state would count as not started.
 *
 * @example
 * ```ts
 * buildJobTombstones('5c0e').map(({ key }) => key); // ['job/5c0e', 'cancel/5c0e', 'progress/5c0e']
 * ```
 */
export function buildJobTombstones(id: string): KeyedValue[] {
  return [WorkLogKey.job(id), WorkLogKey.cancel(id), WorkLogKey.progress(id)].map((key) => ({
    key,
    value: undefined,
  }));
}
