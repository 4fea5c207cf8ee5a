import type { TrackedJob } from '../workLog/mod.js';
import type { StepSpec } from '../task/mod.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Weight of a new observation; older ones fade within some dozens of runs. */
const OBSERVATION_WEIGHT = 0.05;
/** Observations before the mean of a queue is used at all. */
const MIN_OBSERVATIONS = 8;
/** Run time assumed where neither an estimate nor an observation exists, in ms. */
const DEFAULT_RUN_MS = 1_000;
/** Shortest run time that is assumed, in ms. */
const MIN_RUN_MS = 20;

interface QueueStatistics {
  count: number;
  meanMs: number;
  /** Faded mean of |log(run time / submitter's estimate)|. */
  declaredError: number;
  /** Faded mean of |log(run time / mean)|. */
  meanError: number;
}

/**
 * Estimates run times from what submitters declare and from what was observed.
 *
 * Declared run times may be off by a factor of ten; for each queue the estimator keeps the error of
 * the declared times and that of the plain mean and uses whichever has been the better one.
 *
 * @example
 * ```ts
 * estimator.report('renders', step.spec, 1_300);
 * estimator.estimate('renders', step.spec); // ms
 * ```
 */
export class RunTimeEstimator {
  readonly #queues = new Map<string, QueueStatistics>();

  /** Records the run time of a finished task in ms. */
  report(queue: string, spec: StepSpec, runMs: number): void {
    const observed = Math.max(MIN_RUN_MS, runMs);
    const statistics = this.#queues.get(queue) ?? {
      count: 0,
      meanMs: observed,
      declaredError: 0,
      meanError: 0,
    };
    this.#queues.set(queue, statistics);
    statistics.count += 1;
    const weight = Math.max(OBSERVATION_WEIGHT, 1 / statistics.count);
    const declared = spec.estimateMs > 0 ? spec.estimateMs : DEFAULT_RUN_MS;
    const declaredError = Math.abs(Math.log(observed / declared));
    const meanError = Math.abs(Math.log(observed / statistics.meanMs));
    statistics.declaredError += weight * (declaredError - statistics.declaredError);
    statistics.meanError += weight * (meanError - statistics.meanError);
    statistics.meanMs += weight * (observed - statistics.meanMs);
  }

  /** Estimates the run time of one task in ms. */
  estimate(queue: string, spec: StepSpec): number {
    const statistics = this.#queues.get(queue);
    const declared = spec.estimateMs > 0 ? spec.estimateMs : DEFAULT_RUN_MS;
    if (statistics === undefined || statistics.count < MIN_OBSERVATIONS) return declared;
    return statistics.meanError < statistics.declaredError ? statistics.meanMs : declared;
  }

  /** Estimates the longest chain of unfinished steps of an occurrence in ms. */
  estimateRemainingPath(queue: string, steps: readonly ScheduledStep[]): number {
    const finishTimes: number[] = [];
    steps.forEach((step) => {
      const readyAt = Math.max(0, ...step.spec.after.map((before) => finishTimes[before] ?? 0));
      finishTimes.push(step.isDone ? readyAt : readyAt + this.estimate(queue, step.spec));
    });
    return Math.max(0, ...finishTimes);
  }

  /** Estimates the processor work of the unfinished tasks, in thousandths of a core times ms. */
  estimateRemainingWork(queue: string, steps: readonly ScheduledStep[]): number {
    return steps.reduce(
      (sum, { spec, remainingUnits }) =>
        sum +
        remainingUnits * (spec.gang ? spec.count : 1) * spec.cpuMilli * this.estimate(queue, spec),
      0,
    );
  }

  /** Estimates the processor work of a whole job, in thousandths of a core times ms. */
  estimateTotalWork({ queue, spec }: TrackedJob): number {
    return spec.steps.reduce(
      (sum, step) => sum + step.count * step.cpuMilli * this.estimate(queue, step),
      0,
    );
  }

  /** Estimates the longest chain of a whole job in ms, finished steps included. */
  estimateCriticalPath(job: ScheduledJob): number {
    const finishTimes: number[] = [];
    job.tracked.spec.steps.forEach((spec) => {
      const readyAt = Math.max(0, ...spec.after.map((before) => finishTimes[before] ?? 0));
      finishTimes.push(readyAt + this.estimate(job.queue.name, spec));
    });
    return Math.max(0, ...finishTimes);
  }
}
