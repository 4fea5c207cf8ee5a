import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  buildTrackedJob,
  buildHostEntry,
  buildQueueConfig,
  ScheduleRig,
} from '../testing/ScheduleRig.js';

const TWO_STEPS = [
  { count: 2, cpuMilli: 1_000, estimateMs: 500 },
  { count: 1, cpuMilli: 1_000, estimateMs: 500, after: [0] },
];

describe('Shard', () => {
  it('starts a step only when all tasks of the step before are done', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', TWO_STEPS));
    const [one, two] = rig.startAll();
    assert.ok(one !== undefined && two !== undefined);
    rig.end(one, 'done');
    assert.deepEqual(rig.startAll(), []);
    rig.end(two, 'done');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['a.0.1.0'],
    );
  });

  it('does not go on with a cancelled job when a run of it is reported as done', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', TWO_STEPS));
    const runs = rig.startAll();
    rig.shard.cancelJob('a');
    runs.forEach((run) => rig.end(run, 'done'));
    assert.deepEqual(rig.startAll(), []);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'cancelled');
  });

  it('does not start a task elsewhere while its unanswered start may still be carried out', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.addHost('h2');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [command] = rig.plan();
    assert.ok(command?.type === 'start');
    const { run } = command;
    rig.shard.reportStart(run, { type: 'unanswered' });
    rig.clock.advance(10);
    assert.equal(rig.plan().filter(({ type }) => type === 'start').length, 0);
    // The host does not list it: it is stopped first, so that a late start is refused.
    rig.report(run.host.id, { running: [] });
    const stop = rig.output.commands.find(({ type }) => type === 'stop');
    assert.ok(stop?.type === 'stop');
    rig.clock.advance(10);
    rig.report(run.host.id, { running: [] });
    assert.equal(rig.plan().filter(({ type }) => type === 'start').length, 0);
    rig.shard.reportStop(run.host, stop, { type: 'done', clockMs: undefined });
    rig.clock.advance(10);
    rig.report(run.host.id, { running: [] });
    assert.equal(rig.plan().filter(({ type }) => type === 'start').length, 1);
  });

  it('keeps an unanswered start that the host lists as running', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [command] = rig.plan();
    assert.ok(command?.type === 'start');
    rig.shard.reportStart(command.run, { type: 'unanswered' });
    rig.clock.advance(10);
    rig.report('h1');
    assert.equal(command.run.state, 'running');
    assert.equal(rig.output.commands.filter(({ type }) => type === 'stop').length, 0);
  });

  it('gives a job up after as many failed runs as its queue allows', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.addHost('h2');
    rig.addHost('h3');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const [run] = rig.startAll();
      assert.ok(run !== undefined, `attempt ${attempt}`);
      rig.clock.advance(100);
      rig.end(run, 'failed');
    }
    assert.deepEqual(rig.startAll(), []);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'failed');
  });

  it('counts a failed run once when an earlier owner has counted it but not acknowledged it', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    const progress = {
      token: 1,
      state: 'active' as const,
      finishedBelow: 0,
      finished: [],
      occurrences: [
        {
          number: 0,
          steps: [{ done: [], started: [], failed: [[0, [6, 7]] as [number, number[]]] }],
        },
      ],
    };
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }], { progress }));
    rig.addHost('h1');
    const ended = {
      sequence: 1,
      task: 'a.0.0.0',
      run: 7,
      outcome: 'failed',
      checkpoint: '',
    } as const;
    rig.report('h1', { ended: [ended] });
    assert.equal(rig.startAll().length, 1);
  });

  it('restarts a lasting task however often it fails', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000, isLasting: true }]));
    for (let attempt = 0; attempt < 10; attempt += 1) {
      const [run] = rig.startAll();
      assert.ok(run !== undefined, `attempt ${attempt}`);
      rig.end(run, attempt % 2 === 0 ? 'failed' : 'done');
      rig.clock.advance(3_000);
    }
  });

  it('starts nothing that an earlier owner may run on a host that has not answered', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.addHost('h1');
    rig.shard.updateHost({
      ...rig.shard.findHost('h1')!.entry,
      id: 'silent',
      address: 'silent:80',
      machine: 'machine-of-silent',
    });
    rig.shard.addJob(buildTrackedJob('old', [{ count: 1, cpuMilli: 1_000 }]));
    rig.shard.addJob(
      buildTrackedJob('new', [{ count: 1, cpuMilli: 1_000 }], { acceptedOffset: 501 }),
    );
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['new.0.0.0'],
    );
    rig.report('silent');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['old.0.0.0'],
    );
  });

  // Guards against a successor that starts nothing while a cut-off data centre does not answer.
  it('starts what no earlier owner has recorded or may have started without a record', () => {
    const rig = new ScheduleRig({
      token: 2,
      claimOffset: 500,
      isFirst: false,
      unrecorded: ['dc-2'],
    });
    rig.addHost('h1');
    rig.shard.updateHost(buildHostEntry('h2'));
    const hosts = ['h1', 'h2'].map((id) => ({
      name: `machine-of-${id}`,
      pool: 'studio',
      state: 'up' as const,
      dataCentre: 'dc-1',
      hostId: id,
    }));
    rig.shard.updateMachines(hosts, 1);
    const steps = [{ count: 2, cpuMilli: 1_000 }];
    const progress = {
      token: 1,
      state: 'active' as const,
      finishedBelow: 0,
      finished: [],
      occurrences: [
        {
          number: 0,
          steps: [{ done: [], failed: [], started: [[0, 7, 'h2'] as [number, number, string]] }],
        },
      ],
    };
    rig.shard.addJob(buildTrackedJob('recorded', steps, { progress }));
    rig.shard.addJob(buildTrackedJob('other', steps, { dataCentre: 'dc-2' }));
    const [run, ...others] = rig.startAll();
    assert.equal(run?.task, 'recorded.0.0.1');
    assert.deepEqual(others, []);
    // What this owner records names the run that may exist, for its own successor.
    const [, recorded] = rig.shard.takeDirtyJobs().map((job) => job.describeProgress(2));
    assert.equal(recorded, undefined);
    const job = rig.shard.findHost('h1')?.runs.values().next().value?.unit.step.occurrence.job;
    const started = job?.describeProgress(2).occurrences[0]?.steps[0]?.started;
    assert.deepEqual(started?.slice(0, 1), [[0, 7, 'h2']]);
    // The host answers, and runs nothing: both wait no longer.
    rig.report('h2');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['recorded.0.0.0', 'other.0.0.0', 'other.0.0.1'],
    );
  });

  it('starts only jobs of its own data centre while a later owner may exist', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    const steps = [{ count: 1, cpuMilli: 1_000 }];
    rig.shard.addJob(buildTrackedJob('own', steps));
    rig.shard.addJob(buildTrackedJob('foreign', steps, { dataCentre: 'dc-2' }));
    rig.shard.setStartRule('own-data-centre');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['own.0.0.0'],
    );
    rig.shard.setStartRule('all');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['foreign.0.0.0'],
    );
  });

  it('finds a host whose machine was listed before its own entry was read', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    const machine = { name: 'machine-of-h1', pool: 'studio', dataCentre: 'dc-1', hostId: 'h1' };
    rig.shard.updateMachines([{ ...machine, state: 'up' }], 0);
    assert.equal(rig.shard.updateHost(buildHostEntry('h1')).isNew, true);
    assert.equal(rig.shard.updateHost(buildHostEntry('h1')).isNew, false);
  });

  it('takes over runs that a host lists, and stops those that nobody wants', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    rig.addHost('h1');
    const listed = { run: 1, checkpoint: '', percent: 100, load: 1 };
    rig.report('h1', {
      running: [
        { task: 'a.0.0.0', ...listed },
        { task: 'b.0.0.0', ...listed },
      ],
    });
    const stops = rig.output.commands.filter(({ type }) => type === 'stop');
    assert.deepEqual(
      stops.map((stop) => stop.type === 'stop' && stop.task),
      ['b.0.0.0'],
    );
    assert.deepEqual(rig.startAll(), []);
  });

  it('keeps runs of a silent host reserved until their leases have expired', () => {
    const rig = new ScheduleRig();
    rig.shard.updateMachines(
      [
        {
          name: 'machine-of-h1',
          pool: 'studio',
          state: 'up',
          dataCentre: 'dc-1',
          hostId: 'h1',
        },
      ],
      0,
    );
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [run] = rig.startAll();
    assert.ok(run !== undefined);
    rig.addHost('h2');
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.clock.advance(4_900);
    assert.deepEqual(rig.startAll(), []);
    rig.clock.advance(500);
    assert.deepEqual(
      rig.startAll().map(({ host }) => host.id),
      ['h2'],
    );
  });

  it('restarts nothing of a silent host while a later owner may exist', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [run] = rig.startAll();
    assert.ok(run !== undefined);
    rig.addHost('h2');
    rig.shard.setDetached(true);
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.clock.advance(9_000);
    rig.shard.updateMachines([], rig.clock.readMonotonic());
    assert.deepEqual(rig.startAll(), []);
    rig.shard.setDetached(false);
    assert.equal(rig.startAll().length, 1);
  });

  it('records the ends of runs that an earlier owner started without recording the job', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.shard.addJob(buildTrackedJob('a', [{ count: 2, cpuMilli: 1_000 }]));
    rig.shard.updateHost(buildHostEntry('h1'));
    const ended = {
      task: 'a.0.0.1',
      run: 3,
      outcome: 'done',
      checkpoint: '',
      sequence: 1,
    } as const;
    rig.report('h1', { ended: [ended] });
    const [job] = rig.shard.takeDirtyJobs();
    assert.deepEqual(job?.describeProgress(2).occurrences[0]?.steps[0]?.done, [1]);
  });

  it('counts failed runs whose ends come in another order than the runs', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    [3, 1, 2].forEach((number) => {
      rig.shard.updateHost(buildHostEntry(`h${number}`));
      const end = { sequence: 1, task: 'a.0.0.0', outcome: 'failed', checkpoint: '' } as const;
      rig.report(`h${number}`, { ended: [{ ...end, run: number }] });
    });
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'failed');
  });

  it('keeps runs that it took over for as long as the lease of the owner before may last', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    rig.addHost('h2');
    rig.shard.updateHost(buildHostEntry('h1'));
    const listed = { task: 'a.0.0.0', run: 1, checkpoint: '', percent: 100, load: 1 };
    rig.report('h1', { running: [listed] });
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    rig.shard.reportHoldFailure(host, 'no answer');
    rig.clock.advance(9_000);
    assert.deepEqual(rig.startAll(), []);
    rig.clock.advance(2_000);
    assert.equal(rig.startAll().length, 1);
  });

  it('frees the runs of a silent host when its machine carries another life', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [run] = rig.startAll();
    assert.ok(run !== undefined);
    rig.addHost('h2');
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.shard.reportHoldFailure(run.host, 'no answer');
    rig.clock.advance(100);
    rig.shard.updateMachines(
      [
        {
          name: 'machine-of-h1',
          pool: 'studio',
          state: 'down',
          dataCentre: 'dc-1',
          hostId: undefined,
        },
      ],
      rig.clock.readMonotonic(),
    );
    assert.deepEqual(
      rig.startAll().map(({ host }) => host.id),
      ['h2'],
    );
  });

  it('starts the tasks of a gang together or not at all', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 3, cpuMilli: 8_000, gang: true }]));
    assert.deepEqual(rig.startAll(), []);
    rig.addHost('h2');
    const runs = rig.startAll();
    assert.equal(runs.length, 3);
    assert.equal(new Set(runs.map(({ number }) => number)).size, 1);
  });

  it('puts at most as many tasks of a step on a host as the step allows', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.addHost('h2');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 5, cpuMilli: 100, maxPerHost: 2 }]));
    const runs = rig.startAll();
    assert.deepEqual(runs.map(({ host }) => host.id).sort(), ['h1', 'h1', 'h2', 'h2']);
  });

  it('makes room for a queue that comes first by stopping a task that can resume', () => {
    const batch = buildQueueConfig({ name: 'batch', pathPrefix: '/batch/', priority: 1 });
    const rig = new ScheduleRig({}, [buildQueueConfig(), batch]);
    rig.addHost('h1');
    rig.shard.addJob(
      buildTrackedJob('low', [{ count: 1, cpuMilli: 16_000, checkpoints: true }], {
        queue: 'batch',
      }),
    );
    const [low] = rig.startAll();
    assert.ok(low !== undefined);
    rig.shard.addJob(buildTrackedJob('high', [{ count: 1, cpuMilli: 8_000 }]));
    const stops = rig.plan().filter(({ type }) => type === 'stop');
    assert.equal(stops.length, 1);
    rig.end(low, 'stopped');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['high.0.0.0'],
    );
  });
});
