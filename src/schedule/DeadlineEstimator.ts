import type { Occurrence } from './Occurrence.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';

/**
 * Computes the deadlines of job occurrences and whether these can still be met.
 *
 * The time allowed for an occurrence is `stretch` times the critical path of the job, plus the
 * latency target of its queue. An occurrence is late if it would miss its deadline even if each of
 * its remaining tasks started as soon as it is ready.
 *
 * @example
 * ```ts
 * const deadlines = new DeadlineEstimator(estimator);
 * deadlines.isLate(occurrence, Date.now()); // false
 * ```
 */
export class DeadlineEstimator {
  readonly #estimator: RunTimeEstimator;

  constructor(estimator: RunTimeEstimator) {
    this.#estimator = estimator;
  }

  /** Computes the deadline of an occurrence, in ms since the Unix epoch. */
  computeDeadline({ job, scheduledWallMs }: Occurrence): number {
    const { queue, tracked } = job;
    const from = Math.max(tracked.submittedAtMs, scheduledWallMs);
    const criticalPathMs = this.#estimator.estimateCriticalPath(job);
    return from + queue.stretch * criticalPathMs + queue.latencyTargetMs;
  }

  /** Checks whether an occurrence can no longer meet its deadline; long-running jobs have none. */
  isLate(occurrence: Occurrence, nowWallMs: number): boolean {
    if (occurrence.job.isLasting) return false;
    const remainingPathMs = this.#estimator.estimateRemainingPath(
      occurrence.job.queue.name,
      occurrence.steps,
    );
    return nowWallMs + remainingPathMs > this.computeDeadline(occurrence);
  }
}
