import type { CallerStanding } from './CallerStanding.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Collaborators of a `ShareRound`. */
export interface ShareRoundParts {
  standing: CallerStanding;
  pool: string;
  isLate: (step: ScheduledStep) => boolean;
}

/**
 * One round of starts in a pool, in the order of the scheduling policy. The policy sorts before the
 * round, but an organisation may rise above its share during the round; its remaining steps then
 * follow those of the other organisations with equal priority, rate and lateness. Without this an
 * organisation with many waiting jobs would take all of the capacity that becomes free at once.
 */
export class ShareRound {
  readonly #standing: CallerStanding;

  readonly #pool: string;

  readonly #isLate: (step: ScheduledStep) => boolean;

  constructor({ standing, pool, isLate }: ShareRoundParts) {
    this.#standing = standing;
    this.#pool = pool;
    this.#isLate = isLate;
  }

  /** Plans sorted steps one after the other. */
  run(sorted: readonly ScheduledStep[], plan: (step: ScheduledStep) => void): void {
    const above = this.#listAbove(sorted);
    const wasAbove = ({ occurrence }: ScheduledStep): boolean =>
      above.has(occurrence.job.tracked.organisation);
    let deferred: ScheduledStep[] = [];
    sorted.forEach((step) => {
      const [first] = deferred;
      const isSameClass = first !== undefined && !wasAbove(step) && this.#isEqualClass(first, step);
      if (first !== undefined && !isSameClass) {
        deferred.forEach(plan);
        deferred = [];
      }
      if (!wasAbove(step) && this.#isAbove(step)) deferred.push(step);
      else plan(step);
    });
    deferred.forEach(plan);
  }

  /** Lists the organisations that are above their share before the round. */
  #listAbove(steps: readonly ScheduledStep[]): Set<string | undefined> {
    const seen = new Set<string | undefined>([undefined]);
    const above = new Set<string | undefined>();
    steps.forEach((step) => {
      const { organisation } = step.occurrence.job.tracked;
      if (seen.has(organisation)) return;
      seen.add(organisation);
      if (this.#isAbove(step)) above.add(organisation);
    });
    return above;
  }

  #isAbove({ occurrence }: ScheduledStep): boolean {
    return this.#standing.isAboveShare(occurrence.job, this.#pool);
  }

  #isEqualClass(one: ScheduledStep, other: ScheduledStep): boolean {
    const [job, otherJob] = [one.occurrence.job, other.occurrence.job];
    return (
      job.queue.priority === otherJob.queue.priority &&
      one.spec.isLasting === other.spec.isLasting &&
      this.#standing.isWithinRate(job) === this.#standing.isWithinRate(otherJob) &&
      this.#isLate(one) === this.#isLate(other)
    );
  }
}
