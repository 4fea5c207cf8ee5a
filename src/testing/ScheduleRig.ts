import type { z } from 'zod';
import { WorkLogKey, type TrackedJob } from '../workLog/mod.js';
import { ManualClock } from '../clock/mod.js';
import type {
  Configuration,
  HostEntry,
  HostReport,
  EndedRun,
  OrganisationConfig,
  PoolConfig,
  QueueConfig,
  RunOutcome,
} from '../port/mod.js';
import {
  Shard,
  type Run,
  type ShardCommand,
  type ShardParts,
  type Takeover,
} from '../schedule/mod.js';
import { JobSpec } from '../task/mod.js';
import { RecordingShardOutput } from './RecordingShardOutput.js';

/** Builds a queue configuration for tests; `fields` override the defaults. */
export function buildQueueConfig(fields: Partial<QueueConfig> = {}): QueueConfig {
  return {
    name: 'renders',
    hostName: 'jobs.example',
    pathPrefix: '/renders/',
    pool: 'studio',
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    latencyTargetMs: 600,
    timeoutMs: 3_000,
    isPublic: false,
    ...fields,
  };
}

/** Builds a pool configuration for tests; `fields` override the defaults. */
export function buildPoolConfig(fields: Partial<PoolConfig> = {}): PoolConfig {
  return {
    name: 'studio',
    refusesOverload: true,
    isStandby: false,
    maxConnections: 64,
    ...fields,
  };
}

/** Builds a tracked job with the given steps; `fields` override the defaults. */
export function buildTrackedJob(
  id: string,
  steps: z.input<typeof JobSpec>['steps'],
  fields: Partial<TrackedJob> = {},
): TrackedJob {
  return {
    id,
    queue: 'renders',
    pool: 'studio',
    rule: { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600 },
    submittedAtMs: 0,
    dataCentres: ['dc-1'],
    recordKeys: [WorkLogKey.job(id, 'dc-1')],
    acceptedOffset: 100,
    spec: JobSpec.parse({ payload: id, steps }),
    ...fields,
  };
}

/** Builds the entry of a ready host with 16 cores; `fields` override the defaults. */
export function buildHostEntry(id: string, fields: Partial<HostEntry> = {}): HostEntry {
  return {
    id,
    pool: 'studio',
    address: `${id}:80`,
    dataCentre: 'dc-1',
    state: 'ready',
    labels: ['r1'],
    rack: 'r1',
    capacity: { cpuMilli: 16_000, memoryMb: 32_768, accelerators: 0 },
    clockMs: 0,
    startedAtMs: undefined,
    machine: `machine-of-${id}`,
    remainingMs: undefined,
    ...fields,
  };
}

const FIRST_TAKEOVER: Takeover = {
  token: 1,
  claimOffset: 0,
  isFirst: true,
  isHandover: false,
  sequence: 0,
  machineOrders: [],
  unrecorded: ['*'],
};

/** Test rig of a shard with a manual clock and hosts whose reports the test supplies. */
export class ScheduleRig {
  readonly clock = new ManualClock();

  readonly output = new RecordingShardOutput();

  readonly shard: Shard;

  readonly #configuration: Configuration;

  readonly #endSequences = new Map<string, number>();

  constructor(
    takeover: Partial<Takeover> = {},
    queues: QueueConfig[] = [buildQueueConfig()],
    poolFields: Partial<PoolConfig> = {},
    parts: Partial<ShardParts> = {},
  ) {
    this.shard = new Shard(
      { ...FIRST_TAKEOVER, ...takeover },
      {
        maxLeaseMs: 10_000,
        leaseMs: 5_000,
        stopMs: 1_000,
        moveMs: 1_500,
        machineLeaseMs: 3_000,
        detachedLimitMs: 20_000,
        rateWindowMs: 5_000,
        capOvershoot: 0.1,
        overloadPolicy: 'least-cost',
        largeJobFactor: 1,
        borrowAboveMs: 400,
        parkAfterMs: 1_500,
        keepHosts: 2,
        dataCentre: 'dc-1',
      },
      { clock: this.clock, output: this.output, ...parts },
    );
    const pools = [...new Set(queues.map(({ pool }) => pool))];
    this.#configuration = {
      version: 1,
      queues,
      pools: [
        ...pools.map((name) => buildPoolConfig({ name, ...poolFields })),
        buildPoolConfig({ name: 'spare', isStandby: true }),
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 262_144,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    };
    this.shard.applyConfiguration(this.#configuration);
  }

  /** Applies a configuration with organisations; `caps` are in millicores, by name. */
  setCaps(caps: Record<string, number>, jobsPerS = 1_000): void {
    const organisations = Object.entries(caps).map(([name, cpuMilli]): OrganisationConfig => ({
      name,
      apiKeys: [],
      jobsPerS,
      cap: { cpuMilli, memoryMb: 0, accelerators: 0 },
    }));
    this.shard.applyConfiguration({ ...this.#configuration, organisations });
  }

  /** Adds a host and reports the response to its first hold. */
  addHost(id: string, fields: Partial<HostEntry> = {}): void {
    this.shard.updateHost(buildHostEntry(id, fields));
    this.report(id);
  }

  /** Runs one planning round and returns its commands. */
  plan(): ShardCommand[] {
    this.output.commands.length = 0;
    this.shard.plan();
    return [...this.output.commands];
  }

  /** Runs one planning round, reports every start command as done and returns the runs. */
  startAll(): Run[] {
    const runs = this.plan().flatMap((command) => (command.type === 'start' ? [command.run] : []));
    runs.forEach((run) => this.shard.reportStart(run, { type: 'done', clockMs: undefined }));
    return runs;
  }

  /** Reports the end of a run while the other runs of its host continue. */
  end(run: Run, outcome: RunOutcome): void {
    const sequence = (this.#endSequences.get(run.host.id) ?? 0) + 1;
    this.#endSequences.set(run.host.id, sequence);
    const ended: EndedRun = { sequence, task: run.task, run: run.number, outcome, checkpoint: '' };
    this.report(run.host.id, { ended: [ended] }, run);
  }

  /** Reports the hold response of a host; by default it lists all runs that the shard knows there. */
  report(id: string, fields: Partial<HostReport> = {}, without?: Run): void {
    const host = this.shard.findHost(id);
    if (host === undefined) throw new RangeError(`no host "${id}"`);
    const running = [...host.runs.values()]
      .filter((run) => run !== without)
      .map((run) => ({
        task: run.task,
        run: run.number,
        checkpoint: '',
        percent: 100,
        load: 1_000,
      }));
    const now = this.clock.readMonotonic();
    const report = {
      clockMs: Math.floor(now),
      startedAtMs: undefined,
      running,
      ended: [],
      hasMoreEnds: false,
      ...fields,
    };
    this.shard.reportHold(host, report, now);
  }
}
