import type { CallerStanding } from './CallerStanding.js';
import { DeadlineEstimator } from './DeadlineEstimator.js';
import { NoOrganisations } from './NoOrganisations.js';
import type { Occurrence } from './Occurrence.js';
import type { Run } from './Run.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledJob } from './ScheduledJob.js';
import { compareRanks } from './SchedulingPolicy.js';
import { WorkDistribution } from './WorkDistribution.js';

/** Value of a job to its caller: a constant part, a part in proportion to its work, and a limit. */
const VALUE_BASE = 0.3;
const VALUE_PER_MEAN_WORK = 0.7;
const MAX_VALUE = 4;
/** A late job still has some value up to this multiple of the time allowed for it. */
const LATE_LIMIT_FACTOR = 3;
/** Whether a job can be in time, can finish late with some value, or has hardly any value left. */
export enum Lateness {
  InTime = 0,
  Late = 1,
  Overdue = 2,
}

/** Options of a `DelayCost`. */
export interface DelayCostOptions {
  /** By default, all jobs are equal. */
  standing?: CallerStanding | undefined;
  /** See `ShardOptions.largeJobFactor`. */
  largeJobFactor?: number;
}

/** Numbers of waiting jobs, by what their callers can still expect. */
export interface WaitingJobCounts {
  inTime: number;
  late: number;
  beyondRate: number;
}

/**
 * Estimates what it costs the caller of a job if the job is delayed, or if one of its runs is
 * interrupted. Every decision that delays work uses it.
 *
 * A job is in time until its deadline; up to three times the time allowed for it, it has about a
 * fourteenth of its value, and later none. Its value grows with its work, from 0.3 up to 4 times
 * that of the mean job of its queue.
 *
 * @example
 * ```ts
 * const cost = new DelayCost(estimator);
 * cost.computeLateness(occurrence, Date.now()); // Lateness.InTime
 * cost.computeDensity(occurrence); // value per millicore and ms of its waiting work
 * ```
 */
export class DelayCost {
  readonly #estimator: RunTimeEstimator;

  readonly #deadlines: DeadlineEstimator;

  readonly #standing: CallerStanding;

  readonly #largeJobFactor: number;

  readonly #queues = new Map<string, WorkDistribution>();

  /** Work of each job in millicores times ms, as estimated when the job was first seen. */
  readonly #works = new WeakMap<ScheduledJob, number>();

  constructor(
    estimator: RunTimeEstimator,
    { standing = new NoOrganisations(), largeJobFactor = 1 }: DelayCostOptions = {},
  ) {
    this.#estimator = estimator;
    this.#deadlines = new DeadlineEstimator(estimator);
    this.#standing = standing;
    this.#largeJobFactor = largeJobFactor;
  }

  /** Computes whether an occurrence can still be in time; long-running jobs have no deadline. */
  computeLateness(occurrence: Occurrence, nowWallMs: number): Lateness {
    const { job, steps } = occurrence;
    if (job.isLasting) return Lateness.InTime;
    const endMs = nowWallMs + this.#estimator.estimateRemainingPath(job.queue.name, steps);
    const deadlineMs = this.#deadlines.computeDeadline(occurrence);
    if (endMs <= deadlineMs) return Lateness.InTime;
    const from = Math.max(job.tracked.submittedAtMs, occurrence.scheduledWallMs);
    const limitMs = from + LATE_LIMIT_FACTOR * (deadlineMs - from);
    return endMs <= limitMs ? Lateness.Late : Lateness.Overdue;
  }

  /** Checks whether the organisation of a job submitted it beyond its rate. */
  isBeyondRate(job: ScheduledJob): boolean {
    return !job.isLasting && !this.#standing.isWithinRate(job);
  }

  /** Checks whether the organisation of a job uses more than its share of a pool. */
  isAboveShare(job: ScheduledJob): boolean {
    return this.#standing.isAboveShare(job, job.queue.pool);
  }

  /**
   * Checks whether an occurrence may use only capacity that nothing else needs: it is late, or
   * beyond the rate of its organisation.
   */
  isDeferrable(occurrence: Occurrence, nowWallMs: number): boolean {
    if (this.isBeyondRate(occurrence.job)) return true;
    return this.computeLateness(occurrence, nowWallMs) !== Lateness.InTime;
  }

  /**
   * Computes the value of an occurrence per millicore and ms of its waiting work. Work that runs or
   * is done does not count, so that a job is the more worth finishing the more of it has run.
   */
  computeDensity(occurrence: Occurrence): number {
    const { job, steps } = occurrence;
    let waitingWork = 0;
    steps.forEach(({ spec, units, isDone }) => {
      if (isDone) return;
      const tasks = units.countWaitingTasks();
      waitingWork += tasks * spec.cpuMilli * this.#estimator.estimate(job.queue.name, spec);
    });
    return this.#computeWeight(job) / Math.max(1, waitingWork);
  }

  /** Counts the jobs of the given occurrences; a job beyond its rate counts as nothing else. */
  countJobs(occurrences: Iterable<Occurrence>, nowWallMs: number): WaitingJobCounts {
    const counts: WaitingJobCounts = { inTime: 0, late: 0, beyondRate: 0 };
    [...occurrences].forEach((occurrence) => {
      if (this.isBeyondRate(occurrence.job)) counts.beyondRate += 1;
      else if (this.computeLateness(occurrence, nowWallMs) === Lateness.InTime) counts.inTime += 1;
      else counts.late += 1;
    });
    return counts;
  }

  /** Chooses the run whose interruption costs its caller least; undefined if there is none. */
  chooseVictim(
    runs: readonly Run[],
    { now, nowWallMs }: { now: number; nowWallMs: number },
  ): Run | undefined {
    const [victim] = runs
      .map((run) => ({ run, rank: this.#rankInterruption(run, now, nowWallMs) }))
      .sort(compareRanks);
    return victim?.run;
  }

  #rankInterruption(run: Run, now: number, nowWallMs: number): readonly number[] {
    const { spec, step, indexes } = run.unit;
    const { occurrence } = step;
    const lostWork = run.computeUnsavedMs(now) * spec.cpuMilli * indexes.length;
    return [
      -occurrence.job.queue.priority,
      this.isBeyondRate(occurrence.job) ? 0 : 1,
      -this.computeLateness(occurrence, nowWallMs),
      lostWork,
    ];
  }

  /** Computes the value of a job relative to the mean job of its queue, raised if it is large. */
  #computeWeight(job: ScheduledJob): number {
    // A long-running job has no total work, and would distort the mean of its queue.
    if (job.isLasting) return 1;
    const distribution = this.#queues.get(job.queue.name) ?? new WorkDistribution();
    this.#queues.set(job.queue.name, distribution);
    let work = this.#works.get(job);
    if (work === undefined) {
      work = this.#estimator.estimateTotalWork(job.tracked);
      this.#works.set(job, work);
      distribution.add(work);
    }
    const relativeWork = work / Math.max(1, distribution.mean);
    const value = Math.min(MAX_VALUE, VALUE_BASE + VALUE_PER_MEAN_WORK * relativeWork);
    return distribution.isLargest(work) ? value * this.#largeJobFactor : value;
  }
}
