import type { ScheduledJob } from './ScheduledJob.js';
import { ScheduledStep } from './ScheduledStep.js';

/** One run of all steps of a job. */
export class Occurrence {
  readonly steps: ScheduledStep[];

  /** A task of it has been started. */
  hasStarted = false;

  constructor(
    readonly job: ScheduledJob,
    readonly number: number,
    /** Wall-clock time in ms since 1970 before which no task starts; 0 for at once. */
    readonly scheduledWallMs: number,
  ) {
    this.steps = job.tracked.spec.steps.map((spec, index) => new ScheduledStep(this, index, spec));
  }

  get isDone(): boolean {
    return this.steps.every((step) => step.isDone);
  }
}
