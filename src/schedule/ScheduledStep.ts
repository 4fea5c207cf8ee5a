import { formatTaskId, type StepSpec } from '../task/mod.js';
import type { Occurrence } from './Occurrence.js';
import { WorkUnit } from './WorkUnit.js';

/** A step of one occurrence of a job. */
export class ScheduledStep {
  readonly units: WorkUnit[];

  /** Number of units that are not done. */
  remainingUnits: number;

  /** Run times in ms of completed tasks, ascending; tasks resumed from checkpoints are excluded. */
  readonly #runTimes: number[] = [];

  constructor(
    readonly occurrence: Occurrence,
    readonly index: number,
    readonly spec: StepSpec,
  ) {
    const indexes = Array.from({ length: spec.count }, (_, task) => task);
    this.units = spec.gang
      ? [new WorkUnit(this, indexes)]
      : indexes.map((task) => new WorkUnit(this, [task]));
    this.remainingUnits = this.units.length;
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
    const next = this.#runTimes.findIndex((other) => other > runMs);
    this.#runTimes.splice(next < 0 ? this.#runTimes.length : next, 0, runMs);
  }

  /** Finds the median run time of the completed tasks in ms; undefined before the first one. */
  findMedianRunTime(): number | undefined {
    return this.#runTimes[Math.floor((this.#runTimes.length - 1) / 2)];
  }

  /** Finds the unit that contains a task. */
  findUnit(task: number): WorkUnit | undefined {
    return this.spec.gang ? this.units[0] : this.units[task];
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
