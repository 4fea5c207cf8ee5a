import type { TrackedJob } from '../workLog/mod.js';
import type { PoolConfig } from '../port/mod.js';
import { ArrivalMeter } from './ArrivalMeter.js';
import { computeResourceRequest } from './computeResourceRequest.js';
import type { HostTable } from './HostTable.js';
import type { JobTable } from './JobTable.js';
import type { ManagedHost } from './ManagedHost.js';
import { DeadlineEstimator } from './DeadlineEstimator.js';
import type { RunTimeEstimator } from './RunTimeEstimator.js';
import type { ScheduledStep } from './ScheduledStep.js';
import type { ScheduledJob } from './ScheduledJob.js';
import { BurstForecast } from './BurstForecast.js';

/** A lasting task that waits for longer has found no room: a restart elsewhere takes some 50 ms. */
const MAX_LASTING_WAIT_MS = 300;

/**
 * The begin of a turn shows in the forecast this much later in ms: rates are averaged over 2 s, and
 * a turn counts from a part of its highest rate on.
 */
const BURST_DETECTION_MS = 2_500;

/** Work that waits in a pool. */
export interface WaitingWork {
  /** Hosts' worth of room that the waiting tasks would take at once. */
  hosts: number;
  /** The part of it that belongs to jobs which can still be in time. */
  timelyHosts: number;
  /** The part of it that belongs to lasting tasks which have found no room for a while. */
  lastingHosts: number;
  /** Processor work in thousandths of a core times ms. */
  work: number;
}

const NO_WORK: WaitingWork = { hosts: 0, timelyHosts: 0, lastingHosts: 0, work: 0 };

/** Measures how pressed each pool is. */
export class PoolLoad {
  readonly #jobs: JobTable;

  readonly #hosts: HostTable;

  readonly #estimator: RunTimeEstimator;

  readonly #arrivals = new ArrivalMeter();

  readonly #deadlines: DeadlineEstimator;

  readonly #forecast: BurstForecast;

  /** Steady time in ms since which work has come; hosts that idled before had nothing to do. */
  #demandSince: number | undefined;

  /** `moveMs` is the time that a host takes to come up in another pool. */
  constructor(jobs: JobTable, hosts: HostTable, estimator: RunTimeEstimator, moveMs: number) {
    this.#jobs = jobs;
    this.#hosts = hosts;
    this.#estimator = estimator;
    this.#forecast = new BurstForecast(moveMs + BURST_DETECTION_MS);
    this.#deadlines = new DeadlineEstimator(estimator);
  }

  /** Records a job that has just been accepted. */
  reportArrival({ queue, tracked, isLasting }: ScheduledJob, now: number): void {
    if (isLasting) return;
    this.reportDemand(now);
    this.#arrivals.report(queue.pool, this.#estimator.estimateTotalWork(tracked), now);
  }

  /** Records when a job was submitted, as a steady time, also of one that is over. */
  reportSubmission(tracked: TrackedJob, at: number): void {
    if (tracked.spec.steps.some(({ isLasting }) => isLasting)) return;
    this.#forecast.report(tracked.pool, this.#estimator.estimateTotalWork(tracked), at);
  }

  /** Measures how many hosts a pool should have for the turn that is expected next. */
  measureExpectedHosts(pool: string, now: number): number {
    const expected = this.#forecast.findNext(now);
    return expected?.pool === pool ? expected.rate / this.#findLargestHost().cpuMilli : 0;
  }

  /** Records that work has come, or may have come to an earlier owner, since a steady time. */
  reportDemand(now: number): void {
    this.#demandSince ??= now;
  }

  /**
   * Measures for how long a host has been idle while it was known which pools the demand was for, in
   * ms. In the first seconds of demand that is not known: a turn shows only `BEGIN_SEEN_MS` after its
   * begin, and hosts that are parked just before it come back too late for its first jobs.
   */
  measureIdle({ idleSince }: ManagedHost, now: number): number {
    const knownSince = (this.#demandSince ?? now) + BURST_DETECTION_MS;
    return Math.max(0, now - Math.max(idleSince, knownSince));
  }

  /** Measures how many hosts more the arriving work would keep busy than a pool has. */
  measureRisingHosts(pool: string, now: number): number {
    const rate = this.#arrivals.measureRate(pool, now);
    if (rate === 0) return 0;
    const freeCpuMilli = this.measureCapacity(pool, now) - this.#measureLastingCpu(pool);
    return Math.max(0, (rate - freeCpuMilli) / this.#findLargestHost().cpuMilli);
  }

  /** Measures the work that waits in each pool. */
  measureWaiting(now: number, nowWallMs: number): Map<string, WaitingWork> {
    const result = new Map<string, WaitingWork>();
    const size = this.#findLargestHost();
    this.#jobs.listWaiting().forEach((steps, pool) => {
      let hosts = 0;
      let timelyHosts = 0;
      let lastingHosts = 0;
      let work = 0;
      steps.forEach((step) => {
        const tasks = step.units.reduce(
          (sum, unit) => sum + (unit.isWaiting ? unit.indexes.length : 0),
          0,
        );
        const request = computeResourceRequest(step.spec);
        const share = Math.max(
          request.cpuMilli / size.cpuMilli,
          request.memoryMb / size.memoryMb,
          size.accelerators > 0 ? request.accelerators / size.accelerators : 0,
        );
        hosts += tasks * share;
        if (!this.#deadlines.isLate(step.occurrence, nowWallMs)) timelyHosts += tasks * share;
        if (step.spec.isLasting) lastingHosts += PoolLoad.#countOverdue(step, now) * share;
        const { queue } = step.occurrence.job;
        work += tasks * request.cpuMilli * this.#estimator.estimate(queue.name, step.spec);
      });
      result.set(pool, { hosts, timelyHosts, lastingHosts, work });
    });
    return result;
  }

  /** Computes for each pool how long its hosts need for the work that waits, in ms. */
  computeBacklogs(
    now: number,
    pools: ReadonlyMap<string, PoolConfig>,
    waiting: ReadonlyMap<string, WaitingWork>,
  ): Record<string, number> {
    const backlogs: Record<string, number> = {};
    pools.forEach((_, pool) => {
      const { work } = waiting.get(pool) ?? NO_WORK;
      backlogs[pool] = Math.round(work / Math.max(1, this.measureCapacity(pool, now)));
    });
    return backlogs;
  }

  /** Measures the processor capacity of the hosts of a pool that take work. */
  measureCapacity(pool: string, now: number): number {
    return this.#hosts
      .listInPool(pool)
      .filter((host) => host.isAvailable(now))
      .reduce((sum, host) => sum + host.capacity.cpuMilli, 0);
  }

  /** Counts the tasks of a step that have waited for longer than a restart takes. */
  static #countOverdue({ units }: ScheduledStep, now: number): number {
    return units.filter((unit) => unit.isWaiting && now - unit.readySince > MAX_LASTING_WAIT_MS)
      .length;
  }

  /** Measures the processor room that lasting tasks take in a pool. */
  #measureLastingCpu(pool: string): number {
    return this.#hosts.listInPool(pool).reduce((sum, { runs }) => {
      let used = 0;
      runs.forEach(({ unit }) => {
        if (unit.spec.isLasting) used += computeResourceRequest(unit.spec).cpuMilli;
      });
      return sum + used;
    }, 0);
  }

  #findLargestHost(): { cpuMilli: number; memoryMb: number; accelerators: number } {
    const size = { cpuMilli: 1, memoryMb: 1, accelerators: 0 };
    [...this.#hosts.hosts].forEach(({ capacity }) => {
      size.cpuMilli = Math.max(size.cpuMilli, capacity.cpuMilli);
      size.memoryMb = Math.max(size.memoryMb, capacity.memoryMb);
      size.accelerators = Math.max(size.accelerators, capacity.accelerators);
    });
    return size;
  }
}
