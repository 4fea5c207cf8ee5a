import type { CallerStanding } from './CallerStanding.js';
import type { Lateness } from './DelayCost.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Collaborators of a `ShareRound`. */
export interface ShareRoundParts {
  standing: CallerStanding;
  pool: string;
  computeLateness: (step: ScheduledStep) => Lateness;
}

/** What precedes the share of an organisation in the order of steps. */
interface StepClass {
  priority: number;
  isLasting: boolean;
  isWithinRate: boolean;
  lateness: Lateness;
}

/**
 * One round of starts in a pool, in the order of the scheduling policy, except that steps of an
 * organisation that uses its whole share follow those of the others with equal priority, rate and
 * lateness. The policy sorts before the round, so without this an organisation with many waiting
 * jobs would take all of the capacity that becomes free at once.
 */
export class ShareRound {
  readonly #standing: CallerStanding;

  readonly #pool: string;

  readonly #computeLateness: (step: ScheduledStep) => Lateness;

  constructor({ standing, pool, computeLateness }: ShareRoundParts) {
    this.#standing = standing;
    this.#pool = pool;
    this.#computeLateness = computeLateness;
  }

  /**
   * Plans sorted steps one after the other. If `isYielding` is true, the plan of a step ends as soon
   * as `isAboveShare` holds for it; the step is planned again after the others.
   */
  run(
    sorted: readonly ScheduledStep[],
    plan: (step: ScheduledStep, isYielding: boolean) => void,
  ): void {
    let deferred: ScheduledStep[] = [];
    let firstClass: StepClass | undefined;
    sorted.forEach((step) => {
      if (!this.isAboveShare(step)) {
        // Classes are compared only here, since lateness takes long to compute.
        if (firstClass !== undefined && !this.#isInClass(step, firstClass)) {
          const stepClass = this.#describeClass(step);
          const isBehind = (one: ScheduledStep): boolean => this.#isInClass(one, stepClass);
          deferred.filter((one) => !isBehind(one)).forEach((one) => plan(one, false));
          deferred = deferred.filter(isBehind);
          firstClass = deferred.length > 0 ? stepClass : undefined;
        }
        plan(step, true);
        if (!this.isAboveShare(step)) return;
      }
      deferred.push(step);
      firstClass ??= this.#describeClass(step);
    });
    deferred.forEach((step) => plan(step, false));
  }

  /** Checks whether the organisation of a step uses its whole share now. */
  isAboveShare({ occurrence }: ScheduledStep): boolean {
    return this.#standing.isAboveShare(occurrence.job, this.#pool);
  }

  #describeClass(step: ScheduledStep): StepClass {
    const { job } = step.occurrence;
    return {
      priority: job.queue.priority,
      isLasting: step.spec.isLasting,
      isWithinRate: this.#standing.isWithinRate(job),
      lateness: this.#computeLateness(step),
    };
  }

  #isInClass(
    step: ScheduledStep,
    { priority, isLasting, isWithinRate, lateness }: StepClass,
  ): boolean {
    const { job } = step.occurrence;
    return (
      job.queue.priority === priority &&
      step.spec.isLasting === isLasting &&
      this.#standing.isWithinRate(job) === isWithinRate &&
      this.#computeLateness(step) === lateness
    );
  }
}
