import type { TrackedJob } from '../workLog/mod.js';
import type { StepSpec } from '../task/mod.js';
import type { ScheduledJob } from './ScheduledJob.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Weight of a new observation in the moving averages, which cover the last few dozen runs. */
const OBSERVATION_WEIGHT = 0.05;
/** Minimum number of observations before the mean of a queue is used. */
const MIN_OBSERVATIONS = 8;
/** Assumed run time in ms if there is neither an estimate nor an observation. */
const DEFAULT_RUN_MS = 1_000;
/** Minimum observed run time in ms; shorter ones are raised to it. */
const MIN_RUN_MS = 20;

interface QueueStatistics {
  count: number;
  meanMs: number;
  /** Moving average of |log(run time / submitter's estimate)|. */
  declaredError: number;
  /** Moving average of |log(run time / mean)|. */
  meanError: number;
}

/**
 * Estimates run times from the declarations of submitters and from observed run times.
 *
 * Declared run times may be wrong by a factor of ten. For each queue, the estimator tracks the
 * error of the declared times and the error of the mean run time, and uses the more accurate of the
 * two.
 *
 * @example
 * ```ts
 * estimator.report('renders', step.spec, 1_300);
 * estimator.estimate('renders', step.spec); // ms
 * ```
 */
export class RunTimeEstimator {
  readonly #queues = new Map<string, QueueStatistics>();

  /** Records the observed run time of a completed task in ms. */
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

  /** Estimates the critical path in ms of the unfinished steps of an occurrence. */
  estimateRemainingPath(queue: string, steps: readonly ScheduledStep[]): number {
    const finishTimes: number[] = [];
    steps.forEach((step) => {
      const readyAt = Math.max(0, ...step.spec.after.map((before) => finishTimes[before] ?? 0));
      finishTimes.push(step.isDone ? readyAt : readyAt + this.estimate(queue, step.spec));
    });
    return Math.max(0, ...finishTimes);
  }

  /** Estimates the CPU work of the unfinished tasks, in millicores times ms. */
  estimateRemainingWork(queue: string, steps: readonly ScheduledStep[]): number {
    return steps.reduce(
      (sum, { spec, remainingUnits }) =>
        sum +
        remainingUnits * (spec.gang ? spec.count : 1) * spec.cpuMilli * this.estimate(queue, spec),
      0,
    );
  }

  /** Estimates the CPU work of a complete job, in millicores times ms. */
  estimateTotalWork({ queue, spec }: TrackedJob): number {
    return spec.steps.reduce(
      (sum, step) => sum + step.count * step.cpuMilli * this.estimate(queue, step),
      0,
    );
  }

  /** Estimates the critical path of a job in ms, including finished steps. */
  estimateCriticalPath(job: ScheduledJob): number {
    const finishTimes: number[] = [];
    job.tracked.spec.steps.forEach((spec) => {
      const readyAt = Math.max(0, ...spec.after.map((before) => finishTimes[before] ?? 0));
      finishTimes.push(readyAt + this.estimate(job.queue.name, spec));
    });
    return Math.max(0, ...finishTimes);
  }
}
