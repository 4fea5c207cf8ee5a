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
  it('starts a step only after all tasks of the steps it depends on are done', () => {
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

  it('does not continue a cancelled job when one of its runs is reported as done', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', TWO_STEPS));
    const runs = rig.startAll();
    rig.shard.cancelJob('a');
    runs.forEach((run) => rig.end(run, 'done'));
    assert.deepEqual(rig.startAll(), []);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'cancelled');
  });

  it('does not start a task on another host while an unanswered start may be executed', () => {
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
    // The host does not list the run, so it is stopped first: a delayed start is then rejected.
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

  // Guards against hosts that do not guard their capacity and were brought over it: a run that no
  // job needs occupies its resources until its stop has finished.
  it('starts nothing on a host that still lists a run that no job needs', () => {
    const rig = new ScheduleRig({}, undefined, { refusesOverload: false });
    rig.addHost('h1');
    const unwanted = { task: 'gone.0.0.0', run: 1, checkpoint: '', percent: 10, load: 1_000 };
    rig.report('h1', { running: [unwanted] });
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 16_000 }]));
    const commands = rig.plan();
    assert.equal(commands.filter(({ type }) => type === 'start').length, 0);
    rig.report('h1', { running: [] });
    assert.equal(rig.plan().filter(({ type }) => type === 'start').length, 1);
  });

  // Guards against jobs that are counted as begun although no host has started a task of them (MIXED).
  it('records a job as begun only when a host has started one of its tasks', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
    const [command] = rig.plan();
    assert.ok(command?.type === 'start');
    const isRecordedAsBegun = (): boolean | undefined =>
      rig.shard.takeDirtyJobs()[0]?.describeProgress(1).hasBegun;
    assert.equal(isRecordedAsBegun(), false);
    rig.shard.reportStart(command.run, { type: 'unanswered' });
    assert.equal(isRecordedAsBegun(), undefined);
    rig.clock.advance(10);
    rig.report('h1');
    // The next append records it, which a heartbeat causes at the latest.
    assert.equal(rig.shard.hasDirtyRecords, false);
    assert.equal(isRecordedAsBegun(), true);
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

  it('fails a job when a task has used up the attempts of its queue', () => {
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

  // Guards against runs that go on, and starts that are ordered, without a record of them.
  it('stops the runs of a job whose progress cannot be recorded, and starts no others', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 20, cpuMilli: 1_000 }]));
    assert.equal(rig.startAll().length, 16);
    rig.shard.failJob('a', 'too large');
    const stops = rig.output.commands.filter(({ type }) => type === 'stop');
    assert.equal(stops.length, 16);
    assert.equal(rig.plan().filter(({ type }) => type === 'start').length, 0);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'failed');
  });

  it('counts a failed run once if a previous owner counted but did not acknowledge it', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    const progress = {
      token: 1,
      state: 'active' as const,
      hasBegun: true,
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

  it('restarts a long-running task regardless of how often it fails', () => {
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

  it('starts no task that a previous owner may run on a host that has not responded', () => {
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

  // Guards against a host that is taken for ended while it starts: the machine list had been
  // requested before the host was there.
  it('does not take a silent host for ended that an older machine list lacks', () => {
    const rig = new ScheduleRig();
    rig.shard.updateMachines([], rig.clock.readMonotonic());
    rig.clock.advance(1_000);
    const requestedAt = rig.clock.readMonotonic();
    rig.clock.advance(100);
    const { host } = rig.shard.updateHost(buildHostEntry('h1'));
    for (let call = 0; call < 2; call += 1) rig.shard.reportHoldFailure(host, 'refused');
    rig.shard.updateMachines([], requestedAt);
    assert.equal(host.hasEnded, false);
    rig.clock.advance(100);
    rig.shard.updateMachines([], rig.clock.readMonotonic());
    assert.equal(host.hasEnded, true);
  });

  // Guards against a new owner that starts no tasks while it cannot reach a data centre.
  it('starts tasks that no previous owner has recorded or may have started unrecorded', () => {
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
      hasBegun: true,
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
    rig.shard.addJob(buildTrackedJob('other', steps, { dataCentres: ['dc-2'] }));
    const [run, ...others] = rig.startAll();
    assert.equal(run?.task, 'recorded.0.0.1');
    assert.deepEqual(others, []);
    // The records of this owner name the run that may exist, for the next owner.
    const [, recorded] = rig.shard.takeDirtyJobs().map((job) => job.describeProgress(2));
    assert.equal(recorded, undefined);
    const job = rig.shard.findHost('h1')?.runs.values().next().value?.unit.step.occurrence.job;
    const started = job?.describeProgress(2).occurrences[0]?.steps[0]?.started;
    assert.deepEqual(started?.slice(0, 1), [[0, 7, 'h2']]);
    // The host responds without any runs, so neither job has to wait any longer.
    rig.report('h2');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['recorded.0.0.0', 'other.0.0.0', 'other.0.0.1'],
    );
  });

  // Guards against two runs of one task (TWICE): a job that was submitted in two data centres counts
  // as one of each of them, for an owner without contact and for its successor.
  it('starts no task that a previous owner may have started as one of any data centre', () => {
    const rig = new ScheduleRig({
      token: 2,
      claimOffset: 500,
      isFirst: false,
      unrecorded: ['dc-2'],
    });
    rig.shard.updateMachines([], 0);
    rig.addHost('h1');
    rig.shard.updateHost(buildHostEntry('silent'));
    const steps = [{ count: 1, cpuMilli: 1_000 }];
    rig.shard.addJob(buildTrackedJob('both', steps, { dataCentres: ['dc-1', 'dc-2'] }));
    assert.deepEqual(rig.startAll(), []);
    rig.report('silent');
    rig.shard.setStartRule('own-data-centre');
    assert.deepEqual(
      rig.startAll().map(({ task }) => task),
      ['both.0.0.0'],
    );
  });

  it('starts only jobs of its own data centre while a later owner may exist', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    const steps = [{ count: 1, cpuMilli: 1_000 }];
    rig.shard.addJob(buildTrackedJob('own', steps));
    rig.shard.addJob(buildTrackedJob('foreign', steps, { dataCentres: ['dc-2'] }));
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

  // Guards against a job that is never restarted (LOST): the hosts refuse starts without a ticket.
  it('asks for advice for a job of a removed queue that it has taken over', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.addHost('h1');
    const advice = { decisionMs: 100, perHostMs: 10 };
    const rule = { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600, advice };
    const lasting = [{ count: 1, cpuMilli: 1_000, isLasting: true }];
    rig.shard.addJob(buildTrackedJob('a', lasting, { queue: 'removed', rule }));
    const commands = rig.plan().map(({ type }) => type);
    assert.deepEqual(commands, ['ask-advice']);
    const allowed = [{ hostId: 'h1', ticket: 't' }];
    rig.shard.reportAdvice('a.0.0', { allowed, validityMs: 60_000 });
    const [start] = rig.plan();
    assert.ok(start?.type === 'start');
    assert.equal(start.ticket, 't');
  });

  it('finds a host whose machine was listed before its own entry was read', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    const machine = { name: 'machine-of-h1', pool: 'studio', dataCentre: 'dc-1', hostId: 'h1' };
    rig.shard.updateMachines([{ ...machine, state: 'up' }], 0);
    assert.equal(rig.shard.updateHost(buildHostEntry('h1')).isNew, true);
    assert.equal(rig.shard.updateHost(buildHostEntry('h1')).isNew, false);
  });

  it('adopts the runs that a host lists and stops those that belong to no job', () => {
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

  it('keeps the runs of an unresponsive host until their leases have expired', () => {
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

  it('does not restart the runs of an unresponsive host while a later owner may exist', () => {
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

  it('records the ends of runs that a previous owner started without recording the job', () => {
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

  it('counts failed runs whose ends are reported out of order', () => {
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

  it('keeps adopted runs for as long as the lease granted by the previous owner may last', () => {
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

  it('releases the runs of an unresponsive host when its machine no longer runs it', () => {
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

  it('starts either all tasks of a gang or none', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 3, cpuMilli: 8_000, gang: true }]));
    assert.deepEqual(rig.startAll(), []);
    rig.addHost('h2');
    const runs = rig.startAll();
    assert.equal(runs.length, 3);
    assert.equal(new Set(runs.map(({ number }) => number)).size, 1);
  });

  it('limits the number of tasks of a step on one host', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.addHost('h2');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 5, cpuMilli: 100, maxPerHost: 2 }]));
    const runs = rig.startAll();
    assert.deepEqual(runs.map(({ host }) => host.id).sort(), ['h1', 'h1', 'h2', 'h2']);
  });

  it('preempts a task with checkpoints for a queue of higher priority', () => {
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
