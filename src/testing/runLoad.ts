import { RunTimeEstimator, type SchedulingPolicy } from '../schedule/mod.js';
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
  /** Builds the policy with the estimator of the shard; by default, the shard uses its own. */
  buildPolicy?: (estimator: RunTimeEstimator) => SchedulingPolicy;
  /** Share of the jobs that go to a second queue of the pool, which has priority 1. */
  secondQueueShare?: number;
  /** Share of the tasks that take `slowFactor` times as long. */
  slowShare?: number;
  slowFactor?: number;
  /** Organisation of the job with an index; none by default. */
  chooseOrganisation?: (index: number) => string;
}

/** Names of the two queues of a load, by priority. */
export const LOAD_QUEUES = ['renders', 'thumbnails'] as const;

/** What became of one job. */
export interface SimulatedJob {
  id: string;
  queue: string;
  organisation: string | undefined;
  /** Work of the job in core seconds. */
  work: number;
  /** The part of `work` that was started while the job could still be in time. */
  timelyWork: number;
  /** Duration in ms within which the job is in time. */
  allowedMs: number;
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
  const queues = LOAD_QUEUES.map((name, priority) =>
    buildQueueConfig({ name, priority, stretch: 1.6, latencyTargetMs: 600 }),
  );
  const estimator = new RunTimeEstimator();
  const schedulingPolicy = options.buildPolicy?.(estimator);
  const rig = new ScheduleRig({}, queues, {}, { estimator, schedulingPolicy });
  const capacity = { cpuMilli: options.hostCpuMilli, memoryMb: 1e6, accelerators: 0 };
  for (let index = 0; index < options.hosts; index += 1) rig.addHost(`h${index}`, { capacity });
  const simulated = new SimulatedHosts(rig);
  const runTimes = new Map<string, number>();
  const jobs = new Map<string, SimulatedJob & { submittedAt: number }>();
  const count = Math.round((options.jobsPerS * options.burstMs) / 1_000);
  const submissions = Array.from({ length: count }, () => sampler.sample() * options.burstMs).sort(
    (one, other) => one - other,
  );
  const submit = (id: string, now: number): void => {
    const stepCount = Math.max(1, Math.round(sampler.sampleAround(options.steps, 0.4)));
    const cpuMilli = Math.round(sampler.sampleAround(options.cpuMilli, 0.45));
    const runMs = sampler.sampleAround(options.runMs, 0.5);
    const { secondQueueShare = 0, slowShare = 0, slowFactor = 1 } = options;
    const queue = LOAD_QUEUES[secondQueueShare > 0 && sampler.sample() < secondQueueShare ? 1 : 0];
    const organisation = options.chooseOrganisation?.(jobs.size);
    let work = 0;
    const steps = Array.from({ length: stepCount }, (_, index) => {
      const size = Math.max(1, Math.round(sampler.sampleAround(options.tasks, 0.6)));
      for (let task = 0; task < size; task += 1) {
        const isSlow = slowShare > 0 && sampler.sample() < slowShare;
        const taskMs = sampler.sampleAround(runMs, 0.15) * (isSlow ? slowFactor : 1);
        runTimes.set(`${id}.0.${index}.${task}`, taskMs);
        work += (taskMs * cpuMilli) / 1e6;
      }
      const estimateMs = sampler.sampleAround(runMs, options.estimateError);
      return { count: size, cpuMilli, estimateMs, after: index === 0 ? [] : [index - 1] };
    });
    const allowedMs = 1.6 * runMs * stepCount + 600;
    jobs.set(id, {
      ...{ id, queue, organisation, work, timelyWork: 0, allowedMs },
      ...{ latencyMs: Infinity, isInTime: false, submittedAt: now },
    });
    const fields = { queue, organisation, submittedAtMs: now, acceptedOffset: 1_000 };
    rig.shard.addJob(buildTrackedJob(id, steps, fields));
  };
  for (let now = 0; now < options.burstMs + SETTLE_MS; now += STEP_MS) {
    while ((submissions[0] ?? Infinity) <= now) {
      submissions.shift();
      submit(`j${jobs.size}`, now);
    }
    simulated.reportEnds(now);
    rig.startAll().forEach((run) => {
      const taskMs = runTimes.get(run.task) ?? options.runMs;
      simulated.start(run, now, taskMs);
      const job = jobs.get(run.unit.step.occurrence.job.id);
      if (job !== undefined && now - job.submittedAt <= job.allowedMs)
        job.timelyWork += (taskMs * run.unit.spec.cpuMilli) / 1e6;
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
