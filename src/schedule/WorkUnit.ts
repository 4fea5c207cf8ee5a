import type { StepSpec } from '../task/mod.js';
import type { Run } from './Run.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** A run that a previous owner recorded before it ordered the start. */
export interface InheritedRun {
  index: number;
  number: number;
  host: string;
}

/** Smallest unit of scheduling: a single task, or all tasks of a gang. */
export class WorkUnit {
  /** Runs that occupy resources on any host. */
  readonly runs = new Set<Run>();

  /** Runs recorded by previous owners on hosts that have not responded to this owner yet. */
  inheritedRuns: InheritedRun[] = [];

  /** Numbers of the failed runs; ends may be reported to two owners, and by hosts in any order. */
  readonly failedRuns = new Set<number>();

  /** Number of the last run. */
  lastRunNumber = 0;

  /** Checkpoint from which the next run resumes; empty if there is none. */
  checkpoint = '';

  isDone = false;

  /** Machines on which a run failed or was slow; they are used last. */
  readonly avoidedMachines = new Set<string>();

  /** Monotonic time in ms before which the unit is not started again. */
  notBefore = 0;

  /** Monotonic time in ms since which the unit has been waiting to start. */
  readySince = 0;

  constructor(
    readonly step: ScheduledStep,
    /** Indexes of the tasks within their step. */
    readonly indexes: readonly number[],
  ) {}

  get spec(): StepSpec {
    return this.step.spec;
  }

  /** Checks whether the unit is unfinished and has no run. */
  get isWaiting(): boolean {
    return !this.isDone && this.runs.size === 0;
  }

  /** Marks the unit as done. */
  finish(): void {
    this.isDone = true;
    this.step.units.finish(this);
  }

  /** Number of failed runs, which is limited by the attempts of the queue. */
  get failures(): number {
    return this.failedRuns.size;
  }

  /** Counts a failed run; returns false if it has been counted before. */
  recordFailure(number: number): boolean {
    if (this.failedRuns.has(number)) return false;
    this.failedRuns.add(number);
    this.step.occurrence.job.recordFailure();
    return true;
  }

  /** Takes the number of the next run, which is above `floor` and above all earlier numbers. */
  takeRunNumber(floor: number): number {
    this.lastRunNumber = Math.max(this.lastRunNumber, floor) + 1;
    return this.lastRunNumber;
  }
}
