import { MAX_CONCURRENT_TASKS_PER_JOB } from '../task/mod.js';

/** Maximum number of runs of all jobs; a run takes the owner about 1 KB. */
const MAX_RUNS = 50_000;

/**
 * Limits how many runs an owner tracks at the same time. The capacity of the hosts does not limit
 * them, since a task may request hardly any or none of it.
 *
 * @example
 * ```ts
 * limit.add('5c0e');
 * limit.canStart('5c0e', 1); // true
 * ```
 */
export class RunLimit {
  #total = 0;

  readonly #jobs = new Map<string, number>();

  /** Checks whether a number of tasks of a job may start at the same time. */
  canStart(job: string, tasks: number): boolean {
    const runs = this.#jobs.get(job) ?? 0;
    return this.#total + tasks <= MAX_RUNS && runs + tasks <= MAX_CONCURRENT_TASKS_PER_JOB;
  }

  /** Adds a run of a job. */
  add(job: string): void {
    this.#total += 1;
    this.#jobs.set(job, (this.#jobs.get(job) ?? 0) + 1);
  }

  /** Removes a run of a job. */
  remove(job: string): void {
    this.#total -= 1;
    const runs = (this.#jobs.get(job) ?? 0) - 1;
    if (runs > 0) this.#jobs.set(job, runs);
    else this.#jobs.delete(job);
  }
}
