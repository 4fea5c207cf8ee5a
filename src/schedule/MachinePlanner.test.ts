import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Machine } from '../port/mod.js';
import {
  buildTrackedJob,
  buildHostEntry,
  buildQueueConfig,
  ScheduleRig,
} from '../testing/ScheduleRig.js';
import type { ShardCommand } from './mod.js';

/** More work than the only host of the pool can run at once. */
const OVERLOAD = [{ count: 40, cpuMilli: 8_000, estimateMs: 1_000 }];

function buildStandby(name: string, fields: Partial<Machine> = {}): Machine {
  return {
    name,
    pool: 'spare',
    state: 'up',
    dataCentre: 'dc-1',
    hostId: undefined,
    ...fields,
  };
}

function listMovedMachines(commands: readonly ShardCommand[]): string[] {
  return commands.flatMap((command) => (command.type === 'move' ? [command.machine] : []));
}

/** Creates a rig with an overloaded pool and two machines in the standby pool. */
function createOverloadedRig(...takeover: ConstructorParameters<typeof ScheduleRig>): ScheduleRig {
  const rig = new ScheduleRig(...takeover);
  rig.addHost('h1');
  const serving = buildStandby('machine-of-h1', { pool: 'studio', hostId: 'h1' });
  rig.shard.updateMachines([serving, buildStandby('s1'), buildStandby('s2')], 1);
  rig.clock.advance(10);
  rig.shard.addJob(buildTrackedJob('a', OVERLOAD, { acceptedOffset: 1_000 }));
  return rig;
}

describe('MachinePlanner', () => {
  it('moves standby machines to an overloaded pool', () => {
    assert.deepEqual(listMovedMachines(createOverloadedRig().plan()), ['s1', 's2']);
  });

  // Guards against an order every few ms for a machine that cannot be moved yet.
  it('waits before it moves a machine again that the provider found busy', () => {
    const rig = createOverloadedRig();
    rig.plan();
    rig.shard.reportMachineResponse({ machine: 's1' }, { type: 'busy' });
    rig.clock.advance(50);
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    rig.clock.advance(1_000);
    assert.deepEqual(listMovedMachines(rig.plan()), ['s1']);
  });

  // Guards against machines that are never moved if there is no wave: the machine list was read
  // while they were still starting, and nothing else requested a new one.
  it('needs a new machine list if a host has started since the last one', () => {
    const rig = new ScheduleRig();
    const starting = buildStandby('machine-of-h1', { pool: 'studio', state: 'down' });
    rig.shard.updateMachines([starting, buildStandby('s1')], rig.clock.readMonotonic());
    assert.ok(!rig.shard.needsMachineList);
    rig.clock.advance(2_000);
    rig.addHost('h1');
    assert.ok(rig.shard.needsMachineList);
    const up = buildStandby('machine-of-h1', { pool: 'studio', hostId: 'h1' });
    rig.shard.updateMachines([up, buildStandby('s1')], rig.clock.readMonotonic());
    assert.ok(!rig.shard.needsMachineList);
  });

  // Guards against moving hosts out of the pools that the operator assigned them to before the
  // demand shows where they are needed: 2.5 s after the first job, plus 1.5 s of idle time.
  it('parks no host before the initial demand is known', () => {
    const rig = new ScheduleRig();
    const hosts = ['h1', 'h2', 'h3'];
    hosts.forEach((id) => rig.addHost(id));
    const machines = hosts.map((id) =>
      buildStandby(`machine-of-${id}`, { pool: 'studio', hostId: id }),
    );
    rig.shard.updateMachines(machines, rig.clock.readMonotonic());
    rig.clock.advance(10_000);
    hosts.forEach((id) => rig.report(id));
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    const small = [{ count: 1, cpuMilli: 100, estimateMs: 100 }];
    rig.shard.addJob(buildTrackedJob('a', small, { acceptedOffset: 1_000 }));
    rig.startAll().forEach((run) => rig.end(run, 'done'));
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    rig.clock.advance(3_900);
    hosts.forEach((id) => rig.report(id));
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    rig.clock.advance(200);
    hosts.forEach((id) => rig.report(id));
    assert.equal(listMovedMachines(rig.plan()).length, 1);
  });

  // Guards against moving a machine whose maintenance has just been ordered: a standby machine has
  // no host whose state would show it.
  it('does not move a machine whose maintenance has started', () => {
    const rig = createOverloadedRig();
    rig.shard.setWave({ wave: 1, machines: ['s1'], durationMs: 20_000, cap: 1 }, undefined);
    const commands = rig.plan();
    assert.ok(commands.some(({ type }) => type === 'maintain'));
    assert.deepEqual(listMovedMachines(commands), ['s2']);
    rig.shard.reportMachineResponse({ machine: 's1', wave: 1 }, { type: 'done' });
    rig.clock.advance(50);
    assert.deepEqual(listMovedMachines(rig.plan()), []);
  });

  // Guards against a needless order: the list read before a move still shows the machine in the
  // standby pool while its new host already serves.
  it('does not move a machine again before the machine list shows its last move', () => {
    const rig = createOverloadedRig();
    assert.deepEqual(listMovedMachines(rig.plan()), ['s1', 's2']);
    rig.shard.reportMachineResponse({ machine: 's1', pool: 'studio' }, { type: 'done' });
    rig.clock.advance(300);
    rig.addHost('s1-host', { machine: 's1' });
    rig.report('h1');
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    assert.ok(rig.shard.needsMachineList);
  });

  // Guards against two runs of one task: an order that is answered "done" because its effect was
  // there already ends no host.
  it('does not take a host for ended by an order that was not sent for it', () => {
    const rig = createOverloadedRig();
    const orders = rig.plan().flatMap((command) => (command.type === 'move' ? [command] : []));
    const order = orders.find(({ machine }) => machine === 's1');
    assert.ok(order !== undefined);
    rig.clock.advance(300);
    rig.addHost('s1-host', { machine: 's1' });
    const host = rig.shard.findHost('s1-host');
    assert.ok(host !== undefined);
    host.isLeaving = true;
    rig.shard.reportMachineResponse(order, { type: 'done' });
    assert.equal(host.hasEnded, false);
  });

  // Guards against two runs of one task: the host already serves in the pool that the order names,
  // so the answer "done" says nothing about it.
  it('does not take a host for ended by an order to the pool that it serves in', () => {
    const rig = createOverloadedRig();
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    host.isLeaving = true;
    rig.shard.reportMachineResponse(
      { machine: 'machine-of-h1', pool: 'studio', host },
      { type: 'done' },
    );
    assert.equal(host.hasEnded, false);
    assert.equal(host.isLeaving, false);
  });

  // Guards against two runs of one task: a previous owner may have maintained the machine already,
  // and the answer "done" to a second order for the wave then ends no host.
  it('takes a maintained host for ended only when the machine list shows it', () => {
    const rig = createOverloadedRig();
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    const subject = { machine: 'machine-of-h1', wave: 1, host };
    host.isLeaving = true;
    rig.clock.advance(10);
    rig.shard.reportMachineResponse(subject, { type: 'done' });
    assert.equal(host.hasEnded, false);
    assert.ok(rig.shard.needsMachineList);
    rig.clock.advance(10);
    const up = buildStandby('machine-of-h1', { pool: 'studio', hostId: 'h1' });
    rig.shard.updateMachines([up], rig.clock.readMonotonic());
    assert.equal(host.hasEnded, false);
    assert.equal(host.isLeaving, false);
    host.isLeaving = true;
    rig.shard.reportMachineResponse(subject, { type: 'done' });
    rig.clock.advance(10);
    const down = { ...up, state: 'maintenance' as const, hostId: undefined };
    rig.shard.updateMachines([down], rig.clock.readMonotonic());
    assert.equal(host.hasEnded, true);
  });

  // Guards against an order that waits for its record while its effect is seen.
  it('wants an order only for the incarnation that it was made for', () => {
    const rig = createOverloadedRig();
    const orders = rig.plan().flatMap((command) => (command.type === 'move' ? [command] : []));
    const order = orders.find(({ machine }) => machine === 's1');
    assert.ok(order !== undefined);
    assert.ok(rig.shard.isMachineOrderWanted(order));
    rig.addHost('s1-host', { machine: 's1' });
    assert.ok(!rig.shard.isMachineOrderWanted(order));
  });

  // Guards against a new owner that moves no hosts for seconds, although bursts last only seconds.
  it('waits only for machines for which the previous owner may have issued orders', () => {
    const rig = createOverloadedRig({
      token: 2,
      claimOffset: 500,
      isFirst: false,
      machineOrders: [{ machine: 's1', ageMs: 0 }],
    });
    assert.deepEqual(listMovedMachines(rig.plan()), ['s2']);
    rig.clock.advance(2_900);
    rig.report('h1');
    assert.deepEqual(listMovedMachines(rig.plan()), []);
    rig.clock.advance(200);
    rig.report('h1');
    assert.deepEqual(listMovedMachines(rig.plan()), ['s1']);
  });

  // Simulates the end of one queue's burst and the start of another one: late jobs wait in the
  // first pool, and jobs that can meet their deadlines wait in the second.
  it('restricts late jobs to hosts that stay in the pool while another pool needs hosts', () => {
    const other = buildQueueConfig({ name: 'scores', pool: 'scores', pathPrefix: '/scores/' });
    const rig = new ScheduleRig({}, [buildQueueConfig(), other]);
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    hosts.forEach((id) => rig.addHost(id));
    rig.addHost('s1', { pool: 'scores' });
    const machines = [...hosts, 's1'].map((id) =>
      buildStandby(`machine-of-${id}`, { pool: id === 's1' ? 'scores' : 'studio', hostId: id }),
    );
    rig.shard.updateMachines(machines, 1);
    rig.clock.advance(60_000);
    [...hosts, 's1'].forEach((id) => rig.report(id));
    const work = [{ count: 16, cpuMilli: 8_000, estimateMs: 1_000 }];
    const spread = [{ count: 4, cpuMilli: 1_000, estimateMs: 1_000, maxPerHost: 1 }];
    // Accepted before the claim, so that it does not count as an arrival.
    const lateFields = { submittedAtMs: -100_000, acceptedOffset: 0 };
    rig.shard.addJob(buildTrackedJob('first', spread, lateFields));
    const first = rig.startAll();
    assert.equal(new Set(first.map(({ host }) => host.id)).size, 4);
    const timely = buildTrackedJob('timely', work, { queue: 'scores', pool: 'scores' });
    rig.shard.addJob({ ...timely, submittedAtMs: rig.clock.readWall() });
    rig.plan();
    rig.shard.addJob(buildTrackedJob('late', work, lateFields));
    rig.clock.advance(5);
    const late = rig.startAll().filter(({ task }) => task.startsWith('late.'));
    const kept = new Set(late.map(({ host }) => host.id));
    assert.equal(kept.size, 2);
    first.filter(({ host }) => !kept.has(host.id)).forEach((run) => rig.end(run, 'done'));
    assert.equal(listMovedMachines(rig.plan()).length, 2);
  });

  // Guards against interrupting a second task while the first one is still being stopped by order
  // of the previous owner: hosts report a run at full speed until its stop is over.
  it('interrupts no long-running task before the stops of the previous owner must be over', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    const steps = [{ count: 2, cpuMilli: 1_000, isLasting: true, mayMiss: 1, maxPerHost: 1 }];
    rig.shard.addJob(buildTrackedJob('a', steps));
    ['h1', 'h2', 'h3'].forEach((id) => rig.shard.updateHost(buildHostEntry(id)));
    const machines = ['h1', 'h2', 'h3'].map((id) =>
      buildStandby(`machine-of-${id}`, { pool: 'studio', hostId: id }),
    );
    rig.shard.updateMachines(machines, 1);
    const report = (id: string, task: string | undefined): void => {
      const run = { run: 1, checkpoint: '', percent: 100, load: 1 };
      rig.report(id, { running: task === undefined ? [] : [{ task, ...run }] });
    };
    const reportAll = (): void => {
      report('h1', 'a.0.0.0');
      report('h2', 'a.0.0.1');
      report('h3', undefined);
    };
    rig.shard.setWave(
      { wave: 1, machines: ['machine-of-h1'], durationMs: 20_000, cap: 1 },
      undefined,
    );
    const listStops = (): string[] =>
      rig.plan().flatMap((command) => (command.type === 'stop' ? [command.task] : []));
    reportAll();
    assert.deepEqual(listStops(), []);
    rig.clock.advance(900);
    reportAll();
    assert.deepEqual(listStops(), []);
    rig.clock.advance(200);
    reportAll();
    assert.deepEqual(listStops(), ['a.0.0.0']);
  });

  // Guards against a host that stays without work for good: the mark of its evacuation was set while
  // the host list had lost it, and its wave ended meanwhile.
  it('returns an evacuated host to service that was not listed when its wave ended', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    const machine = buildStandby('machine-of-h1', { pool: 'studio', hostId: 'h1' });
    rig.shard.updateMachines([machine], 0);
    const lasting = [{ count: 1, cpuMilli: 1_000, isLasting: true }];
    rig.shard.addJob(buildTrackedJob('a', lasting));
    rig.startAll();
    const order = { wave: 1, machines: [machine.name], durationMs: 20_000, cap: 1 };
    rig.shard.setWave(order, undefined);
    rig.plan();
    const host = rig.shard.findHost('h1');
    assert.equal(host?.isEvacuating, true);
    rig.shard.removeHost('h1');
    rig.shard.setWave({ ...order, machines: [] }, undefined);
    rig.plan();
    rig.shard.updateHost(buildHostEntry('h1'));
    rig.plan();
    assert.equal(host.isEvacuating, false);
  });
});
