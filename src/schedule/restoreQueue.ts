import type { QueueConfig } from '../port/mod.js';
import type { TrackedJob } from '../workLog/mod.js';

/**
 * Restores the queue configuration of a job whose queue is not in the current configuration.
 *
 * @example
 * ```ts
 * const queue = queues.get(tracked.queue) ?? restoreQueue(tracked);
 * ```
 */
export function restoreQueue({ queue, pool, rule }: TrackedJob): QueueConfig {
  return {
    name: queue,
    hostName: '',
    pathPrefix: '',
    pool,
    timeoutMs: 0,
    isPublic: false,
    ...rule,
  };
}
