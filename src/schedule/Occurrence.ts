import { ProgressParts } from './ProgressParts.js';
import type { ScheduledJob } from './ScheduledJob.js';
import { ScheduledStep } from './ScheduledStep.js';

/** One execution of all steps of a job. */
export class Occurrence {
  readonly steps: ScheduledStep[];

  readonly parts: ProgressParts;

  /** The start of at least one of its tasks has been ordered. */
  hasStarted = false;

  constructor(
    readonly job: ScheduledJob,
    readonly number: number,
    /** Scheduled start in ms since the Unix epoch; 0 if the tasks may start immediately. */
    readonly scheduledWallMs: number,
  ) {
    this.steps = job.tracked.spec.steps.map((spec, index) => new ScheduledStep(this, index, spec));
    this.parts = new ProgressParts(this.steps);
  }

  /** Checks whether a run of a task is known to this owner. */
  get hasRuns(): boolean {
    return this.steps.some(({ units }) => [...units.known].some(({ runs }) => runs.size > 0));
  }

  get isDone(): boolean {
    return this.steps.every((step) => step.isDone);
  }
}
