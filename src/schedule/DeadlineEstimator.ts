import type { Occurrence } from './Occurrence.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';

/**
 * Tells when an occurrence of a job is due and whether it can still be finished by then.
 *
 * A job is due after `stretch` times its longest chain of tasks, plus the latency target of its
 * queue. An occurrence that cannot be in time even if all its tasks started now counts as late.
 *
 * @example
 * ```ts
 * const punctuality = new Punctuality(estimator);
 * punctuality.isLate(occurrence, Date.now()); // false
 * ```
 */
export class DeadlineEstimator {
  readonly #estimator: RunTimeEstimator;

  constructor(estimator: RunTimeEstimator) {
    this.#estimator = estimator;
  }

  /** Computes when an occurrence is due, in ms since 1970. */
  computeDeadline({ job, scheduledWallMs }: Occurrence): number {
    const { queue, tracked } = job;
    const from = Math.max(tracked.submittedAtMs, scheduledWallMs);
    const criticalPathMs = this.#estimator.estimateCriticalPath(job);
    return from + queue.stretch * criticalPathMs + queue.latencyTargetMs;
  }

  /** Checks whether an occurrence cannot be in time any more. Lasting tasks are never late. */
  isLate(occurrence: Occurrence, nowWallMs: number): boolean {
    if (occurrence.job.isLasting) return false;
    const remainingPathMs = this.#estimator.estimateRemainingPath(
      occurrence.job.queue.name,
      occurrence.steps,
    );
    return nowWallMs + remainingPathMs > this.computeDeadline(occurrence);
  }
}
