import { DeadlineEstimator } from './DeadlineEstimator.js';
import { RankedPolicy } from './RankedPolicy.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledStep } from './ScheduledStep.js';

/**
 * Orders steps by least remaining work; jobs that can no longer meet their deadlines come last.
 *
 * In an overloaded pool, processing the least remaining work first lets the most jobs meet their
 * deadlines, whereas work on late jobs would make others late as well. Within a priority,
 * long-running tasks come first, since all of their downtime counts. Jobs with failed tasks come
 * after those without, since some jobs can never succeed.
 */
export class LeastWorkFirst extends RankedPolicy {
  readonly #estimator: RunTimeEstimator;

  readonly #deadlines: DeadlineEstimator;

  constructor(estimator: RunTimeEstimator) {
    super();
    this.#estimator = estimator;
    this.#deadlines = new DeadlineEstimator(estimator);
  }

  protected override rank(step: ScheduledStep, nowWallMs: number): readonly number[] {
    const { occurrence } = step;
    const { job } = occurrence;
    const { queue } = job;
    return [
      queue.priority,
      step.spec.isLasting ? 0 : 1,
      this.#deadlines.isLate(occurrence, nowWallMs) ? 1 : 0,
      job.failures > 0 ? 1 : 0,
      this.#estimator.estimateRemainingWork(queue.name, occurrence.steps),
      job.tracked.submittedAtMs,
    ];
  }
}
