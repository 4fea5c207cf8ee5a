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
import type { EntitledDemand } from './EntitledDemand.js';

/**
 * Time in ms after which a waiting long-running task counts as not placeable; a restart on another
 * host takes some 50 ms.
 */
const MAX_LASTING_WAIT_MS = 300;

/**
 * Delay in ms with which the forecast detects the start of a burst: rates are averaged over 2 s,
 * and a burst starts when a fraction of the maximum rate is reached.
 */
const BURST_DETECTION_MS = 2_500;

/** Waiting work of a pool. */
export interface WaitingWork {
  /** Number of hosts needed to run all waiting tasks at the same time. */
  hosts: number;
  /** The part of `hosts` for jobs that can still meet their deadlines. */
  timelyHosts: number;
  /** The part of `hosts` for long-running tasks that could not be placed for a while. */
  lastingHosts: number;
  /** CPU work in millicores times ms. */
  work: number;
}

const NO_WORK: WaitingWork = { hosts: 0, timelyHosts: 0, lastingHosts: 0, work: 0 };

/** Collaborators of a `PoolLoad`. */
export interface PoolLoadParts {
  jobs: JobTable;
  hosts: HostTable;
  estimator: RunTimeEstimator;
  /** Decides which work of organisations counts as demand. */
  demand: EntitledDemand;
  /** Duration in ms until a moved host is up in its new pool. */
  moveMs: number;
}

/** Measures the load and the expected demand of each pool. */
export class PoolLoad {
  readonly #jobs: JobTable;

  readonly #hosts: HostTable;

  readonly #estimator: RunTimeEstimator;

  readonly #demand: EntitledDemand;

  readonly #arrivals = new ArrivalMeter();

  readonly #deadlines: DeadlineEstimator;

  readonly #forecast: BurstForecast;

  /** Monotonic time in ms of the first demand; before it, hosts are idle for lack of any work. */
  #demandSince: number | undefined;

  constructor({ jobs, hosts, estimator, demand, moveMs }: PoolLoadParts) {
    this.#jobs = jobs;
    this.#demand = demand;
    this.#hosts = hosts;
    this.#estimator = estimator;
    this.#forecast = new BurstForecast(moveMs + BURST_DETECTION_MS);
    this.#deadlines = new DeadlineEstimator(estimator);
  }

  /** Records the arrival of an accepted job. */
  reportArrival({ queue, tracked, isLasting }: ScheduledJob, now: number): void {
    if (isLasting) return;
    const part = this.#demand.addArrival(tracked);
    if (part === 0) return;
    this.reportDemand(now);
    this.#arrivals.report(queue.pool, {
      at: now,
      work: part * this.#estimator.estimateTotalWork(tracked),
      organisation: tracked.organisation,
    });
  }

  /** Records the submission of a job, finished or not, at a monotonic time. */
  reportSubmission(tracked: TrackedJob, at: number): void {
    if (tracked.spec.steps.some(({ isLasting }) => isLasting)) return;
    if (!this.#demand.isWithinRate(tracked)) return;
    this.#forecast.report(tracked.pool, this.#estimator.estimateTotalWork(tracked), at);
  }

  /** Measures how many hosts a pool needs for the burst that is forecast next. */
  measureExpectedHosts(pool: string, now: number): number {
    const expected = this.#forecast.findNext(now);
    return expected?.pool === pool ? expected.rate / this.#findLargestHost().cpuMilli : 0;
  }

  /** Records that there has been, or may have been under a previous owner, demand since a time. */
  reportDemand(now: number): void {
    this.#demandSince ??= now;
  }

  /**
   * Measures in ms for how long a host has been idle since the distribution of the demand became
   * known. A burst is detected only `BURST_DETECTION_MS` after its start, and a host that is moved
   * to the standby pool before that returns too late for the first jobs of the burst.
   */
  measureIdle({ idleSince }: ManagedHost, now: number): number {
    const knownSince = (this.#demandSince ?? now) + BURST_DETECTION_MS;
    return Math.max(0, now - Math.max(idleSince, knownSince));
  }

  /** Measures how many additional hosts the arriving work of a pool would keep busy. */
  measureRisingHosts(pool: string, now: number): number {
    const rate = this.#arrivals.measureRate(pool, now, (one) => this.#demand.getCpuLimit(one));
    if (rate === 0) return 0;
    const freeCpuMilli = this.measureCapacity(pool, now) - this.#measureLastingCpu(pool);
    return Math.max(0, (rate - freeCpuMilli) / this.#findLargestHost().cpuMilli);
  }

  /** Measures the waiting work of each pool, as far as its organisations are entitled to it. */
  measureWaiting(now: number, nowWallMs: number): Map<string, WaitingWork> {
    const result = new Map<string, WaitingWork>();
    const size = this.#findLargestHost();
    const waiting = this.#jobs.listWaiting();
    this.#demand.update(waiting);
    waiting.forEach((steps, pool) => {
      let hosts = 0;
      let timelyHosts = 0;
      let lastingHosts = 0;
      let work = 0;
      steps.forEach((step) => {
        const part = this.#demand.getPart(step);
        if (part === 0) return;
        const tasks = part * step.units.countWaitingTasks();
        const request = computeResourceRequest(step.spec);
        const share = Math.max(
          request.cpuMilli / size.cpuMilli,
          request.memoryMb / size.memoryMb,
          size.accelerators > 0 ? request.accelerators / size.accelerators : 0,
        );
        hosts += tasks * share;
        if (!this.#deadlines.isLate(step.occurrence, nowWallMs)) timelyHosts += tasks * share;
        if (step.spec.isLasting) lastingHosts += part * PoolLoad.#countOverdue(step, now) * share;
        const { queue } = step.occurrence.job;
        work += tasks * request.cpuMilli * this.#estimator.estimate(queue.name, step.spec);
      });
      result.set(pool, { hosts, timelyHosts, lastingHosts, work });
    });
    return result;
  }

  /** Computes the time in ms that the hosts of each pool need for its waiting work. */
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

  /** Measures the CPU capacity in millicores of the available hosts of a pool. */
  measureCapacity(pool: string, now: number): number {
    return this.#hosts
      .listInPool(pool)
      .filter((host) => host.isAvailable(now))
      .reduce((sum, host) => sum + host.capacity.cpuMilli, 0);
  }

  /** Counts the units of a step that have waited for longer than a restart takes. */
  static #countOverdue({ units }: ScheduledStep, now: number): number {
    return units.countWaiting(({ readySince }) => now - readySince > MAX_LASTING_WAIT_MS);
  }

  /** Measures the CPU in millicores that long-running tasks reserve in a pool. */
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
