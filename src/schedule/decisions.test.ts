import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { StepSpec } from '../task/mod.js';
import {
  buildTrackedJob,
  buildHostEntry,
  buildQueueConfig,
  ScheduleRig,
} from '../testing/ScheduleRig.js';
import { AdviceCache } from './AdviceCache.js';
import { FaultyHostDetector } from './FaultyHostDetector.js';
import { LeastWorkFirst } from './LeastWorkFirst.js';
import { ManagedHost } from './ManagedHost.js';
import { RunTimeEstimator } from './RunTimeEstimator.js';
import { ScheduledJob } from './ScheduledJob.js';
import type { ScheduledStep } from './ScheduledStep.js';

const NOW_MS = 20_000;

function buildStep(
  id: string,
  step: Parameters<typeof StepSpec.parse>[0],
  submittedAtMs = NOW_MS,
  priority = 0,
): ScheduledStep {
  const tracked = buildTrackedJob(id, [step as never], { submittedAtMs });
  const job = new ScheduledJob(tracked, buildQueueConfig({ priority }));
  const [occurrence] = job.openOccurrences(NOW_MS);
  const found = occurrence?.steps[0];
  assert.ok(found !== undefined);
  return found;
}

describe('LeastWorkFirst', () => {
  it('orders by priority and then by least work, with late jobs last within their priority', () => {
    const order = new LeastWorkFirst(new RunTimeEstimator());
    const steps = [
      buildStep('late', { count: 1, cpuMilli: 10, estimateMs: 1_000 }, 0),
      buildStep('large', { count: 9, cpuMilli: 1_000, estimateMs: 1_000 }),
      buildStep('other-queue', { count: 1, cpuMilli: 10, estimateMs: 10 }, NOW_MS, 1),
      buildStep('small', { count: 2, cpuMilli: 1_000, estimateMs: 1_000 }),
      buildStep('lasting', { count: 20, cpuMilli: 9_000, estimateMs: 1_000, isLasting: true }),
    ];
    assert.deepEqual(
      order.sort(steps, NOW_MS).map(({ occurrence }) => occurrence.job.id),
      ['lasting', 'small', 'large', 'late', 'other-queue'],
    );
  });
});

describe('RunTimeEstimator', () => {
  it('uses the observed mean if the declared times are inaccurate', () => {
    const estimator = new RunTimeEstimator();
    const spec = StepSpec.parse({ count: 1, estimateMs: 8_000 });
    for (let index = 0; index < 20; index += 1) estimator.report('renders', spec, 800);
    assert.ok(Math.abs(estimator.estimate('renders', spec) - 800) < 1);
  });

  it('uses declared times that are accurate', () => {
    const estimator = new RunTimeEstimator();
    for (let index = 0; index < 20; index += 1) {
      const estimateMs = index % 2 === 0 ? 200 : 3_000;
      estimator.report('renders', StepSpec.parse({ count: 1, estimateMs }), estimateMs * 1.1);
    }
    const spec = StepSpec.parse({ count: 1, estimateMs: 3_000 });
    assert.equal(estimator.estimate('renders', spec), 3_000);
  });
});

describe('FaultyHostDetector', () => {
  const host = (): ManagedHost => new ManagedHost(buildHostEntry('h1'), 0);

  it('suspends a host after consecutive failures of several jobs, twice as long each time', () => {
    const detector = new FaultyHostDetector();
    const one = host();
    assert.equal(detector.reportFailure(one, 'a', 0), 0);
    assert.equal(detector.reportFailure(one, 'b', 0), 0);
    const first = detector.reportFailure(one, 'c', 0);
    assert.ok(first > 0);
    assert.equal(detector.reportFailure(one, 'd', first + 1), 2 * first);
  });

  it('does not suspend a host because of a single failing job', () => {
    const detector = new FaultyHostDetector();
    const one = host();
    for (let index = 0; index < 10; index += 1) {
      assert.equal(detector.reportFailure(one, 'poisoned', 0), 0);
    }
  });

  it('resets the count of failures after a successful run', () => {
    const detector = new FaultyHostDetector();
    const one = host();
    detector.reportFailure(one, 'a', 0);
    detector.reportFailure(one, 'b', 0);
    detector.reportSuccess(one, 0);
    assert.equal(detector.reportFailure(one, 'c', 0), 0);
  });
});

describe('AdviceCache', () => {
  it('requests advice once, caches permissions and repeats the request when they expire', () => {
    const cache = new AdviceCache();
    const step = buildStep('a', { count: 1 });
    const hosts = ['h1', 'h2'].map((id) => {
      const host = new ManagedHost(buildHostEntry(id), 0);
      host.isFenced = true;
      return host;
    });
    assert.deepEqual(cache.planRequest(step, hosts, 0)?.hostIds, ['h1', 'h2']);
    assert.equal(cache.planRequest(step, hosts, 10), undefined);
    cache.report(step.id, { allowed: [{ hostId: 'h2', ticket: 't' }], validityMs: 3_000 }, 20);
    assert.deepEqual([...cache.collectAllowed(step, 30)], ['h2']);
    assert.equal(cache.findTicket(step, 'h2'), 't');
    assert.equal(cache.planRequest(step, hosts, 40), undefined);
    assert.deepEqual([...cache.collectAllowed(step, 3_000)], []);
    assert.deepEqual(cache.planRequest(step, hosts, 3_000)?.hostIds, ['h2']);
  });

  // Guards against a request that is repeated while the service still works on it, without an end.
  it('requests advice again only when the response is known, and later after a failure', () => {
    const cache = new AdviceCache();
    const step = buildStep('a', { count: 1 });
    const host = new ManagedHost(buildHostEntry('h1'), 0);
    host.isFenced = true;
    assert.ok(cache.planRequest(step, [host], 0));
    assert.equal(cache.planRequest(step, [host], 8_000), undefined);
    cache.report(step.id, undefined, 8_200);
    assert.equal(cache.planRequest(step, [host], 8_210), undefined);
    assert.ok(cache.planRequest(step, [host], 8_400));
  });

  it('names fewer hosts the longer the service needs for each', () => {
    const hosts = Array.from({ length: 20 }, (_, index) => {
      const host = new ManagedHost(buildHostEntry(`h${index}`), 0);
      host.isFenced = true;
      return host;
    });
    const plan = (decisionMs: number, perHostMs: number): number[] => {
      const step = buildStep('a', { count: 1 });
      step.occurrence.job.setQueue(buildQueueConfig({ advice: { decisionMs, perHostMs } }));
      const planned = new AdviceCache().planRequest(step, hosts, 0);
      return [planned?.hostIds.length ?? 0, planned?.expectedMs ?? 0];
    };
    assert.deepEqual(plan(20, 5), [10, 70]);
    assert.deepEqual(plan(200, 100), [8, 1_000]);
    assert.deepEqual(plan(700, 250), [3, 1_450]);
  });
});

describe('InterferenceControl', () => {
  it('throttles best-effort tasks only while a latency target is missed', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(
      buildTrackedJob('serving', [
        { count: 1, cpuMilli: 1_000, isLasting: true, latencyTargetMs: 100 },
      ]),
    );
    rig.shard.addJob(
      buildTrackedJob('filling', [
        { count: 1, cpuMilli: 4_000, isLasting: true, usesIdleCpu: true },
      ]),
    );
    rig.startAll();
    const list = (tailMs: number): void => {
      const host = rig.shard.findHost('h1');
      const running = [...(host?.runs.values() ?? [])].map(({ task, number }) => ({
        task,
        run: number,
        checkpoint: '',
        percent: 100,
        load: task.startsWith('serving') ? tailMs : 900,
      }));
      rig.output.commands.length = 0;
      rig.report('h1', { running });
    };
    list(150);
    const [slow] = rig.output.commands;
    assert.ok(slow?.type === 'pace' && slow.percent === 50);
    rig.shard.reportPace(slow.run, slow.percent, { type: 'done', clockMs: undefined });
    list(20);
    const [raised] = rig.output.commands;
    assert.ok(raised?.type === 'pace' && raised.percent > 50);
  });
});
