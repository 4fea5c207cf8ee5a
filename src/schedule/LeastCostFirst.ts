import { compareRanks, SchedulingPolicy } from './SchedulingPolicy.js';
import type { DelayCost } from './DelayCost.js';
import type { Occurrence } from './Occurrence.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Index in the sort key of whether the step is long-running. */
const LASTING_INDEX = 1;

function toLastingRank({ spec }: ScheduledStep): number {
  return spec.isLasting ? 0 : 1;
}

/**
 * Orders steps so that the work that waits is the work whose delay costs callers least.
 *
 * Within a priority: long-running tasks, since all of their downtime counts; jobs within the rate
 * of their organisation; jobs that can still be in time, then those that can be late with some
 * value left; organisations below their share; jobs without failed tasks, since some jobs can never
 * succeed; and then the highest value per waiting work.
 *
 * It is made for a burst of some seconds with 1.3 to 2.5 times the work that the pool can run, with
 * run times that are declared wrongly by several times.
 *
 * @example
 * ```ts
 * const policy = new LeastCostFirst(new DelayCost(estimator));
 * const [next] = policy.sort(steps, Date.now());
 * const [givenUp] = policy.sortForRefusal(steps, Date.now());
 * ```
 */
export class LeastCostFirst extends SchedulingPolicy {
  readonly #cost: DelayCost;

  constructor(cost: DelayCost) {
    super();
    this.#cost = cost;
  }

  override sort(steps: readonly ScheduledStep[], nowWallMs: number): ScheduledStep[] {
    // Steps of one occurrence differ only in whether they are long-running.
    const ranks = new Map<Occurrence, readonly number[]>();
    return steps
      .map((step) => {
        const known = ranks.get(step.occurrence);
        if (known !== undefined && known[LASTING_INDEX] === toLastingRank(step))
          return { step, rank: known };
        const rank = this.#rank(step, nowWallMs);
        ranks.set(step.occurrence, rank);
        return { step, rank };
      })
      .sort(compareRanks)
      .map(({ step }) => step);
  }

  #rank(step: ScheduledStep, nowWallMs: number): readonly number[] {
    const { occurrence } = step;
    const { job } = occurrence;
    return [
      job.queue.priority,
      toLastingRank(step),
      this.#cost.isBeyondRate(job) ? 1 : 0,
      this.#cost.computeLateness(occurrence, nowWallMs),
      this.#cost.isAboveShare(job) ? 1 : 0,
      job.failures > 0 ? 1 : 0,
      -this.#cost.computeDensity(occurrence),
      job.tracked.submittedAtMs,
    ];
  }
}
