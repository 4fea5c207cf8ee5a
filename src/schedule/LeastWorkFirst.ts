import { SchedulingPolicy, type RankedStep } from './SchedulingPolicy.js';
import { DeadlineEstimator } from './DeadlineEstimator.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledStep } from './ScheduledStep.js';

function compareRanks(one: RankedStep, other: RankedStep): number {
  for (let index = 0; index < one.rank.length; index += 1) {
    const difference = (one.rank[index] ?? 0) - (other.rank[index] ?? 0);
    if (difference !== 0) return difference;
  }
  return 0;
}

/**
 * Least remaining work first; jobs that cannot be in time any more come last.
 *
 * Under a load above the capacity of a pool, the shortest remaining work finishes the most jobs in
 * time, and work on jobs that are late anyway would make others late. Lasting tasks come before
 * others of their priority, since they are owed all the time that they are away. A job whose tasks
 * have failed comes after those that have not, since some jobs can never be done.
 */
export class LeastWorkFirst extends SchedulingPolicy {
  readonly #estimator: RunTimeEstimator;

  readonly #deadlines: DeadlineEstimator;

  constructor(estimator: RunTimeEstimator) {
    super();
    this.#estimator = estimator;
    this.#deadlines = new DeadlineEstimator(estimator);
  }

  override sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[] {
    return steps
      .map((step) => ({ step, rank: this.#rank(step, nowWallMs) }))
      .sort(compareRanks)
      .map(({ step }) => step);
  }

  #rank(step: ScheduledStep, nowWallMs: number): number[] {
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
