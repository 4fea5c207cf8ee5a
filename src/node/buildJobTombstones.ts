import { WorkLogKey } from '../workLog/mod.js';
import type { KeyedValue } from '../port/mod.js';

/**
 * Formats the records that remove a job from the log. The job is dropped first, since a job without
 * its final state would count as one that has not begun.
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
