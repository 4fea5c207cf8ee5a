import { formatTaskId, type StepSpec } from '../task/mod.js';
import type { Occurrence } from './Occurrence.js';
import { WorkUnit } from './WorkUnit.js';

/** A step of one occurrence of a job, with its units of work. */
export class ScheduledStep {
  readonly units: WorkUnit[];

  /** Units that are not done. */
  remainingUnits: number;

  /** Run times in ms of tasks that are done, shortest first, without those that were resumed. */
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

  /** Records the run time of a task that is done, in ms. */
  recordRunTime(runMs: number): void {
    const next = this.#runTimes.findIndex((other) => other > runMs);
    this.#runTimes.splice(next < 0 ? this.#runTimes.length : next, 0, runMs);
  }

  /** Finds the median run time in ms of the tasks that are done; undefined before the first. */
  findMedianRunTime(): number | undefined {
    return this.#runTimes[Math.floor((this.#runTimes.length - 1) / 2)];
  }

  /** Finds the unit that holds a task. */
  findUnit(task: number): WorkUnit | undefined {
    return this.spec.gang ? this.units[0] : this.units[task];
  }

  /** Formats the identifier of a task of the step. */
  formatTask(index: number): string {
    const { job, number } = this.occurrence;
    return formatTaskId({ job: job.id, occurrence: number, step: this.index, index });
  }

  /** Checks whether the steps that come before are finished. */
  get isReady(): boolean {
    return this.spec.after.every((before) => this.occurrence.steps[before]?.isDone ?? false);
  }
}
