import { JobOrder, type OrderedStep } from './JobOrder.js';
import { Punctuality } from './Punctuality.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledStep } from './ScheduledStep.js';

function compareRanks(one: OrderedStep, other: OrderedStep): number {
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
export class LeastWorkFirst extends JobOrder {
  readonly #estimator: RunTimeEstimator;

  readonly #punctuality: Punctuality;

  constructor(estimator: RunTimeEstimator) {
    super();
    this.#estimator = estimator;
    this.#punctuality = new Punctuality(estimator);
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
      this.#punctuality.isLate(occurrence, nowWallMs) ? 1 : 0,
      job.failures > 0 ? 1 : 0,
      this.#estimator.estimateWork(queue.name, occurrence.steps),
      job.booked.submittedAtMs,
    ];
  }
}
