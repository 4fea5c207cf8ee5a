import type { DelayCost } from './DelayCost.js';
import { RankedPolicy } from './RankedPolicy.js';
import type { ScheduledStep } from './ScheduledStep.js';

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
export class LeastCostFirst extends RankedPolicy {
  readonly #cost: DelayCost;

  constructor(cost: DelayCost) {
    super();
    this.#cost = cost;
  }

  protected override rank(step: ScheduledStep, nowWallMs: number): readonly number[] {
    const { occurrence } = step;
    const { job } = occurrence;
    return [
      job.queue.priority,
      step.spec.isLasting ? 0 : 1,
      this.#cost.isBeyondRate(job) ? 1 : 0,
      this.#cost.computeLateness(occurrence, nowWallMs),
      this.#cost.isAboveShare(job) ? 1 : 0,
      job.failures > 0 ? 1 : 0,
      -this.#cost.computeDensity(occurrence),
      job.tracked.submittedAtMs,
    ];
  }
}
