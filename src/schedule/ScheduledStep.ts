import { formatTaskId, type StepSpec } from '../task/mod.js';
import type { Occurrence } from './Occurrence.js';
import { StepUnits } from './StepUnits.js';
import type { WorkUnit } from './WorkUnit.js';

/** Run times that are kept for the median; later ones would hardly change it. */
const MAX_RUN_TIMES = 1_000;

/** A step of one occurrence of a job. */
export class ScheduledStep {
  readonly units: StepUnits;

  /** Run times in ms of completed tasks, ascending; tasks resumed from checkpoints are excluded. */
  readonly #runTimes: number[] = [];

  constructor(
    readonly occurrence: Occurrence,
    readonly index: number,
    readonly spec: StepSpec,
  ) {
    this.units = new StepUnits(this);
  }

  /** Number of units that are not done. */
  get remainingUnits(): number {
    return this.units.remaining;
  }

  get isDone(): boolean {
    return this.remainingUnits === 0;
  }

  /** `JOB.OCCURRENCE.STEP`. */
  get id(): string {
    return `${this.occurrence.job.id}.${this.occurrence.number}.${this.index}`;
  }

  /** Records the run time of a completed task in ms. */
  recordRunTime(runMs: number): void {
    if (this.#runTimes.length >= MAX_RUN_TIMES) return;
    const next = this.#runTimes.findIndex((other) => other > runMs);
    this.#runTimes.splice(next < 0 ? this.#runTimes.length : next, 0, runMs);
  }

  /** Finds the median run time of the completed tasks in ms; undefined before the first one. */
  findMedianRunTime(): number | undefined {
    return this.#runTimes[Math.floor((this.#runTimes.length - 1) / 2)];
  }

  /** Finds the unit that contains a task. */
  findUnit(task: number): WorkUnit | undefined {
    return this.units.find(task);
  }

  /** Formats the identifier of a task of the step. */
  formatTask(index: number): string {
    const { job, number } = this.occurrence;
    return formatTaskId({ job: job.id, occurrence: number, step: this.index, index });
  }

  /** Checks whether the steps that this one depends on are finished. */
  get isReady(): boolean {
    return this.spec.after.every((before) => this.occurrence.steps[before]?.isDone ?? false);
  }
}
