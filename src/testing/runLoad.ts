import type { SchedulingPolicy } from '../schedule/mod.js';
import { LoadSampler } from './LoadSampler.js';
import { SimulatedHosts } from './SimulatedHosts.js';
import { buildQueueConfig, buildTrackedJob, ScheduleRig } from './ScheduleRig.js';

const STEP_MS = 20;
/** Time in ms for which hosts go on after the last submission. */
const SETTLE_MS = 30_000;

/** A load of jobs of one queue on the hosts of its pool. */
export interface LoadOptions {
  seed: number;
  hosts: number;
  /** Processor of one host in millicores. */
  hostCpuMilli: number;
  /** Jobs a second during the burst, and its duration in ms. */
  jobsPerS: number;
  burstMs: number;
  /** Means of the number of steps, the tasks of a step, their CPU in millicores and run time in ms. */
  steps: number;
  tasks: number;
  cpuMilli: number;
  runMs: number;
  /** Standard deviation of the logarithm of run time / declared run time. */
  estimateError: number;
  policy?: SchedulingPolicy;
}

/** What became of one job. */
export interface SimulatedJob {
  /** Work of the job in core seconds. */
  work: number;
  latencyMs: number;
  isInTime: boolean;
}

/** Share of the jobs in time: of all, and of the largest tenth. */
export interface LoadResult {
  inTime: number;
  largestTenth: number;
  jobs: SimulatedJob[];
}

/**
 * Simulates a burst of jobs on the decisions of a shard, without a network, and returns what callers
 * get: how many jobs finish in the time that their queue allows.
 *
 * @example
 * ```ts
 * runLoad(BURST).inTime; // 0.7
 * ```
 */
export function runLoad(options: LoadOptions): LoadResult {
  const sampler = new LoadSampler(options.seed);
  const queue = buildQueueConfig({ stretch: 1.6, latencyTargetMs: 600 });
  const rig = new ScheduleRig({}, [queue], {}, options.policy);
  const capacity = { cpuMilli: options.hostCpuMilli, memoryMb: 1e6, accelerators: 0 };
  for (let index = 0; index < options.hosts; index += 1) rig.addHost(`h${index}`, { capacity });
  const simulated = new SimulatedHosts(rig);
  const runTimes = new Map<string, number>();
  const jobs = new Map<string, SimulatedJob & { submittedAt: number; allowedMs: number }>();
  const count = Math.round((options.jobsPerS * options.burstMs) / 1_000);
  const submissions = Array.from({ length: count }, () => sampler.sample() * options.burstMs).sort(
    (one, other) => one - other,
  );
  const submit = (id: string, now: number): void => {
    const stepCount = Math.max(1, Math.round(sampler.sampleAround(options.steps, 0.4)));
    const cpuMilli = Math.round(sampler.sampleAround(options.cpuMilli, 0.45));
    const runMs = sampler.sampleAround(options.runMs, 0.5);
    let work = 0;
    const steps = Array.from({ length: stepCount }, (_, index) => {
      const size = Math.max(1, Math.round(sampler.sampleAround(options.tasks, 0.6)));
      for (let task = 0; task < size; task += 1) {
        const taskMs = sampler.sampleAround(runMs, 0.15);
        runTimes.set(`${id}.0.${index}.${task}`, taskMs);
        work += (taskMs * cpuMilli) / 1e6;
      }
      const estimateMs = sampler.sampleAround(runMs, options.estimateError);
      return { count: size, cpuMilli, estimateMs, after: index === 0 ? [] : [index - 1] };
    });
    const allowedMs = 1.6 * runMs * stepCount + 600;
    jobs.set(id, { work, latencyMs: Infinity, isInTime: false, submittedAt: now, allowedMs });
    rig.shard.addJob(buildTrackedJob(id, steps, { submittedAtMs: now, acceptedOffset: 1_000 }));
  };
  for (let now = 0; now < options.burstMs + SETTLE_MS; now += STEP_MS) {
    while ((submissions[0] ?? Infinity) <= now) {
      submissions.shift();
      submit(`j${jobs.size}`, now);
    }
    simulated.reportEnds(now);
    rig.startAll().forEach((run) => {
      simulated.start(run, now, runTimes.get(run.task) ?? options.runMs);
    });
    rig.shard.takeDirtyJobs().forEach(({ id, finalState }) => {
      const job = jobs.get(id);
      if (job === undefined || finalState !== 'completed') return;
      job.latencyMs = now - job.submittedAt;
      job.isInTime = job.latencyMs <= job.allowedMs;
    });
    rig.clock.advance(STEP_MS);
  }
  const sorted = [...jobs.values()].sort((one, other) => other.work - one.work);
  const largest = sorted.slice(0, Math.ceil(sorted.length / 10));
  const share = (list: readonly SimulatedJob[]): number =>
    list.filter(({ isInTime }) => isInTime).length / Math.max(1, list.length);
  return { inTime: share(sorted), largestTenth: share(largest), jobs: sorted };
}
