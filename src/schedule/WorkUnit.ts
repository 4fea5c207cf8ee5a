import type { StepSpec } from '../task/mod.js';
import type { Run } from './Run.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** A run that an earlier owner recorded before it ordered its start. */
export interface InheritedRun {
  index: number;
  number: number;
  host: string;
}

/** What is started together: one task, or all tasks of a gang. */
export class WorkUnit {
  /** Runs that hold room, on any host. */
  readonly runs = new Set<Run>();

  /** Runs that earlier owners recorded and whose hosts have not answered this owner yet. */
  inheritedRuns: InheritedRun[] = [];

  /** Numbers of the failed runs; a host may list an end to two owners, and hosts in any order. */
  readonly failedRuns = new Set<number>();

  /** Number of the last run. */
  lastRunNumber = 0;

  /** Progress from which the next run resumes; empty for none. */
  checkpoint = '';

  isDone = false;

  /** Machines on which a run failed. */
  readonly avoidedMachines = new Set<string>();

  /** Steady time in ms before which the unit is not started again. */
  notBefore = 0;

  /** When the unit last became ready to start, for waiting times. */
  readySince = 0;

  constructor(
    readonly step: ScheduledStep,
    /** Indexes of its tasks. */
    readonly indexes: readonly number[],
  ) {}

  get spec(): StepSpec {
    return this.step.spec;
  }

  /** Checks whether the unit needs a run and has none. */
  get isWaiting(): boolean {
    return !this.isDone && this.runs.size === 0;
  }

  /** Marks the unit as done. */
  finish(): void {
    this.isDone = true;
    this.step.remainingUnits -= 1;
  }

  /** Failed runs that count against the attempts of the queue. */
  get failures(): number {
    return this.failedRuns.size;
  }

  /** Counts a failed run; false for one that was counted before. */
  recordFailure(number: number): boolean {
    if (this.failedRuns.has(number)) return false;
    this.failedRuns.add(number);
    this.step.occurrence.job.recordFailure();
    return true;
  }

  /** Takes the number of the next run; numbers of later owners are above those of earlier ones. */
  takeRunNumber(floor: number): number {
    this.lastRunNumber = Math.max(this.lastRunNumber, floor) + 1;
    return this.lastRunNumber;
  }
}
