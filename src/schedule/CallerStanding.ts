import type { ScheduledJob } from './ScheduledJob.js';

/**
 * How the submitter of a job stands with respect to what it is entitled to: its rate of jobs and
 * its share of a pool. It decides the order of jobs of the same priority when capacity is
 * insufficient.
 *
 * @example
 * ```ts
 * const first = jobs.filter((job) => standing.isWithinRate(job) && !standing.isAboveShare(job, pool));
 * ```
 */
export abstract class CallerStanding {
  /** Checks whether the organisation of a job submitted it within its rate. */
  abstract isWithinRate(job: ScheduledJob): boolean;

  /**
   * Checks whether the organisation of a job uses more of a pool than its fair part by weight, while
   * other organisations have waiting work there.
   */
  abstract isAboveShare(job: ScheduledJob, pool: string): boolean;
}
