import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StepSpec } from '../task/mod.js';
import { LOAD_QUEUES, runLoad, type LoadOptions, type SimulatedJob } from '../testing/runLoad.js';
import {
  buildHostEntry,
  buildQueueConfig,
  buildTrackedJob,
  ScheduleRig,
} from '../testing/ScheduleRig.js';
import { CallerStanding } from './CallerStanding.js';
import { DelayCost, Lateness } from './DelayCost.js';
import { LeastCostFirst } from './LeastCostFirst.js';
import { ManagedHost } from './ManagedHost.js';
import { Run } from './Run.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';
import { ScheduledJob } from './ScheduledJob.js';
import type { ScheduledStep } from './ScheduledStep.js';

const NOW_MS = 20_000;

/** A burst of 4.5 s of jobs of two priorities that asks for about twice the work of its pool. */
const BURST: Omit<LoadOptions, 'seed'> = {
  hosts: 40,
  hostCpuMilli: 64_000,
  jobsPerS: 60,
  burstMs: 4_500,
  steps: 1.6,
  tasks: 8,
  cpuMilli: 9_000,
  runMs: 800,
  estimateError: 0.5,
};
const SEEDS = [1, 2, 3];

/** Standing in which given jobs are beyond the rate, and given organisations above their share. */
class FakeStanding extends CallerStanding {
  readonly #isBeyond: (id: string) => boolean;

  readonly #aboveShare: ReadonlySet<string>;

  constructor(isBeyond: (id: string) => boolean, aboveShare: readonly string[] = []) {
    super();
    this.#isBeyond = isBeyond;
    this.#aboveShare = new Set(aboveShare);
  }

  override isWithinRate({ id }: ScheduledJob): boolean {
    return !this.#isBeyond(id);
  }

  override isAboveShare({ tracked }: ScheduledJob): boolean {
    return this.#aboveShare.has(tracked.organisation ?? '');
  }
}

interface StepFields {
  submittedAtMs?: number;
  priority?: number;
  organisation?: string;
}

function buildStep(
  id: string,
  spec: Partial<StepSpec>,
  { submittedAtMs = NOW_MS, priority = 0, organisation }: StepFields = {},
): ScheduledStep {
  const step = { count: 2, cpuMilli: 1_000, estimateMs: 1_000, ...spec };
  const tracked = buildTrackedJob(id, [step], { submittedAtMs, organisation });
  // Allows a job of 1 s a duration of 2.6 s.
  const job = new ScheduledJob(tracked, buildQueueConfig({ name: `q${priority}`, priority }));
  const found = job.openOccurrences(NOW_MS)[0]?.steps[0];
  assert.ok(found !== undefined);
  return found;
}

function computeShare(jobs: readonly SimulatedJob[]): number {
  return jobs.filter(({ isInTime }) => isInTime).length / jobs.length;
}

describe('LeastCostFirst', () => {
  // Guards against an order in which a job whose delay costs much waits for one that costs little.
  it('orders mixed jobs, and gives up first the job whose refusal costs least', () => {
    const standing = new FakeStanding((id) => id.startsWith('beyond'), ['large-user']);
    const policy = new LeastCostFirst(new DelayCost(new RunTimeEstimator(), { standing }));
    const begun = buildStep('large-begun', { count: 20 });
    [...begun.units.listWaiting()].slice(1).forEach((unit) => unit.finish());
    const steps = [
      buildStep('other-queue', { count: 1 }, { priority: 1 }),
      buildStep('overdue', {}, { submittedAtMs: 0 }),
      buildStep('beyond-rate', { count: 1 }),
      buildStep('late', {}, { submittedAtMs: NOW_MS - 5_000 }),
      buildStep('above-share', { count: 1 }, { organisation: 'large-user' }),
      buildStep('large', { count: 20 }),
      buildStep('small', { count: 2 }),
      begun,
      buildStep('lasting', { count: 30, isLasting: true }),
    ];
    const expected = [
      ...['lasting', 'large-begun', 'small', 'large', 'above-share', 'late', 'overdue'],
      ...['beyond-rate', 'other-queue'],
    ];
    const listIds = (sorted: readonly ScheduledStep[]): string[] =>
      sorted.map(({ occurrence }) => occurrence.job.id);
    assert.deepEqual(listIds(policy.sort(steps, NOW_MS)), expected);
    assert.deepEqual(listIds(policy.sortForRefusal(steps, NOW_MS)), expected.reverse());
  });

  // Guards against a burst in which jobs of low priority, or work that is late anyway, take the
  // capacity of jobs of high priority.
  it('gives up jobs of low priority and jobs with little value per work in a burst', () => {
    const results = SEEDS.flatMap(
      (seed) => runLoad({ ...BURST, seed, secondQueueShare: 0.5 }).jobs,
    );
    const [first, second] = LOAD_QUEUES.map((name) =>
      results.filter(({ queue }) => queue === name),
    );
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(computeShare(first) > computeShare(second) + 0.05);
    const isSmall = ({ work }: SimulatedJob): boolean => work < 60;
    const small = computeShare(second.filter(isSmall));
    const large = computeShare(second.filter((job) => !isSmall(job)));
    assert.ok(small > large, `small ${small}, large ${large}`);
    const wasted = results.filter(({ isInTime }) => !isInTime);
    const sum = (jobs: readonly SimulatedJob[]): number =>
      jobs.reduce((total, { timelyWork }) => total + timelyWork, 0);
    assert.ok(sum(wasted) < 0.3 * sum(results), `${sum(wasted)} of ${sum(results)} wasted`);
  });

  // Guards against an organisation that gets capacity at the expense of others by sending more.
  it('serves nine organisations within their rate while a tenth sends nine times its rate', () => {
    const indexOf = (id: string): number => Number(id.slice(1));
    // Every second job is of the first organisation, which is entitled to every ninth of them.
    const isBeyond = (id: string): boolean => indexOf(id) % 2 === 0 && indexOf(id) % 18 !== 0;
    const chooseOrganisation = (index: number): string =>
      index % 2 === 0 ? 'first' : `other-${((index - 1) / 2) % 9}`;
    const play = (standing: CallerStanding): SimulatedJob[] =>
      SEEDS.flatMap((seed) => {
        const buildPolicy: LoadOptions['buildPolicy'] = (estimator) =>
          new LeastCostFirst(new DelayCost(estimator, { standing }));
        return runLoad({ ...BURST, jobsPerS: 50, seed, buildPolicy, chooseOrganisation }).jobs;
      });
    const jobs = play(new FakeStanding(isBeyond));
    for (let other = 0; other < 9; other += 1) {
      const share = computeShare(jobs.filter((job) => job.organisation === `other-${other}`));
      assert.ok(share > 0.8, `other-${other}: ${share}`);
    }
    const first = jobs.filter(({ organisation }) => organisation === 'first');
    const entitled = first.filter(({ id }) => !isBeyond(id));
    const beyond = first.filter(({ id }) => isBeyond(id));
    assert.ok(computeShare(entitled) > 0.8);
    assert.ok(computeShare(beyond) > 0.3 && computeShare(beyond) < 0.8);
  });
});

describe('DelayCost', () => {
  const time = { now: NOW_MS, nowWallMs: NOW_MS };

  function startRun(step: ScheduledStep, startedAt: number): Run {
    const [unit] = step.units.listWaiting();
    assert.ok(unit !== undefined);
    const host = new ManagedHost(buildHostEntry('h1'), 0);
    const run = new Run(unit, 0, step.formatTask(0), 1, host, startedAt);
    run.confirm(startedAt);
    return run;
  }

  it('tells late jobs with some value left from overdue ones', () => {
    const cost = new DelayCost(new RunTimeEstimator());
    const list = [NOW_MS, NOW_MS - 1_700, NOW_MS - 6_700, NOW_MS - 6_900].map((submittedAtMs) =>
      cost.computeLateness(buildStep('a', {}, { submittedAtMs }).occurrence, NOW_MS),
    );
    assert.deepEqual(list, [Lateness.InTime, Lateness.Late, Lateness.Late, Lateness.Overdue]);
  });

  // Guards against a preemption that loses more work, or more value, than another one would.
  it('chooses as victim the run whose interruption costs least', () => {
    const standing = new FakeStanding((id) => id === 'beyond');
    const cost = new DelayCost(new RunTimeEstimator(), { standing });
    const saved = startRun(buildStep('saved', { count: 1, checkpoints: true }), 0);
    const active = { task: saved.task, run: 1, percent: 50, load: 0 };
    saved.update({ ...active, checkpoint: 'c1' }, NOW_MS - 100);
    const runs = [
      startRun(buildStep('high', {}), NOW_MS),
      startRun(buildStep('lower', {}, { priority: 2 }), NOW_MS - 900),
      startRun(buildStep('beyond', {}), NOW_MS - 900),
      startRun(buildStep('late', {}, { submittedAtMs: 0 }), NOW_MS - 900),
      saved,
      startRun(buildStep('longer', {}), NOW_MS - 900),
    ];
    const order: string[] = [];
    while (runs.length > 0) {
      const victim = cost.chooseVictim(runs, time);
      assert.ok(victim !== undefined);
      order.push(victim.unit.step.occurrence.job.id);
      runs.splice(runs.indexOf(victim), 1);
    }
    assert.deepEqual(order, ['lower', 'beyond', 'late', 'high', 'saved', 'longer']);
    assert.equal(cost.chooseVictim([], time), undefined);
  });
});

describe('StartOrderLog', () => {
  it('logs the waiting jobs of a pool at most once a second', () => {
    const standing = new FakeStanding((id) => id === 'beyond');
    const rig = new ScheduleRig({}, [buildQueueConfig()], {}, { standing });
    rig.clock.setWall(NOW_MS);
    const step = { count: 1, cpuMilli: 1_000, estimateMs: 1_000 };
    ['beyond', 'late', 'timely'].forEach((id) => {
      const submittedAtMs = id === 'late' ? NOW_MS - 2_500 : NOW_MS;
      rig.shard.addJob(buildTrackedJob(id, [step], { submittedAtMs }));
    });
    for (let tick = 0; tick < 15; tick += 1) {
      rig.plan();
      rig.clock.advance(100);
    }
    const records = rig.output.decisionRecords.filter(({ decision }) => decision === 'start-order');
    assert.equal(records.length, 2);
    assert.deepEqual(records[0]?.inputs, {
      ...{ inTime: 1, late: 1, beyondRate: 1 },
      ...{ first: 'timely', last: 'beyond' },
    });
  });
});
