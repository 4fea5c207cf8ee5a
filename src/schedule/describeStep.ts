import type { StepProgress } from '../workLog/mod.js';
import type { ScheduledStep } from './ScheduledStep.js';

type StartedRun = StepProgress['started'][number];
type FailedUnit = StepProgress['failed'][number];

/** Progress of some tasks of a step; done tasks are listed one by one. */
export interface DescribedStep extends StepProgress {
  done: number[];
}

/** Options of `describeStep`. */
export interface DescribeStepOptions {
  /** Index of the first task, and the one after the last task; by default all tasks. */
  from?: number;
  to?: number;
  /** Describes the runs of done tasks, too. */
  keepsRuns: boolean;
}

/**
 * Describes the progress of some tasks of a step for the work log.
 *
 * @example
 * ```ts
 * describeStep(step, { from: 0, to: 500, keepsRuns: false }).done; // [0, 1, 2]
 * ```
 */
export function describeStep(
  { units, spec }: ScheduledStep,
  { from = 0, to = spec.count, keepsRuns }: DescribeStepOptions,
): DescribedStep {
  const isWithin = (index: number): boolean => index >= from && index < to;
  const known = [...units.known];
  return {
    done: units.listDone(from, to),
    failed: known
      .filter((unit) => unit.failures > 0 && !unit.isDone && isWithin(unit.indexes[0] ?? 0))
      .map((unit): FailedUnit => [unit.indexes[0] ?? 0, [...unit.failedRuns]]),
    started: known
      .filter((unit) => !unit.isDone || keepsRuns)
      .flatMap((unit) => [
        ...unit.inheritedRuns.map(({ index, number, host }): StartedRun => [index, number, host]),
        ...[...unit.runs].map((run): StartedRun => [run.index, run.number, run.host.id]),
      ])
      .filter(([index]) => isWithin(index)),
  };
}
