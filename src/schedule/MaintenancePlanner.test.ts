import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Machine } from '../port/mod.js';
import { buildTrackedJob, buildHostEntry, ScheduleRig } from '../testing/ScheduleRig.js';
import { ManagedHost } from './ManagedHost.js';
import {
  MaintenancePlanner,
  type MaintenancePlan,
  type MaintenanceView,
} from './MaintenancePlanner.js';

const MACHINES = 12;
const CAP = 3;
const DURATION_MS = 24_000;
/** Time that the maintenance of one machine takes in the simulation, in ms. */
const MAINTENANCE_MS = 2_000;

class WaveSimulation {
  now = 0;

  readonly machines = new Map<string, Machine>();

  readonly hosts = new Map<string, ManagedHost>();

  readonly planner = new MaintenancePlanner();

  readonly begun: string[] = [];

  #inMaintenance: { machine: string; at: number }[] = [];

  #incarnationCount = 0;

  constructor(machines = MACHINES) {
    for (let index = 0; index < machines; index += 1) this.#startHost(`m-${index}`);
    this.planner.setOrder(
      { wave: 1, machines: [...this.machines.keys()], durationMs: DURATION_MS, cap: CAP },
      0,
    );
  }

  get down(): number {
    return this.#inMaintenance.length;
  }

  run(ms: number): MaintenancePlan {
    this.now += ms;
    this.#inMaintenance
      .filter(({ at }) => at <= this.now)
      .forEach(({ machine }) => this.#startHost(machine));
    this.#inMaintenance = this.#inMaintenance.filter(({ at }) => at > this.now);
    const view: MaintenanceView = {
      now: this.now,
      nowWallMs: this.now,
      machines: this.machines,
      machinesReadAt: this.now,
      hosts: this.hosts,
      isMoving: () => false,
      isStandby: () => false,
      measureBacklogS: () => 0,
    };
    const plan = this.planner.plan(view);
    plan.orders.forEach((order) => {
      this.begun.push(order.machine);
      this.planner.reportResponse(order, true, this.now);
      const machine = this.machines.get(order.machine);
      if (machine !== undefined) {
        this.machines.set(order.machine, { ...machine, state: 'maintenance', hostId: undefined });
      }
      this.hosts.delete(order.machine);
      this.#inMaintenance.push({ machine: order.machine, at: this.now + MAINTENANCE_MS });
    });
    return plan;
  }

  #startHost(name: string): void {
    this.#incarnationCount += 1;
    const id = `host-${this.#incarnationCount}`;
    const host = new ManagedHost(buildHostEntry(id, { machine: name }), this.now);
    host.isFenced = true;
    this.hosts.set(name, host);
    this.machines.set(name, {
      name,
      pool: 'studio',
      state: 'up',
      dataCentre: 'dc-1',
      hostId: id,
    });
  }
}

describe('MaintenancePlanner', () => {
  it('maintains every machine once, in time, with at most as many at once as the cap', () => {
    const wave = new WaveSimulation();
    let completedAt: number | undefined;
    while (wave.now < DURATION_MS && completedAt === undefined) {
      const plan = wave.run(100);
      assert.ok(wave.down <= CAP, `${wave.down} machines are down at ${wave.now} ms`);
      if (plan.completed.length > 0) completedAt = wave.now;
    }
    assert.ok(completedAt !== undefined && completedAt < DURATION_MS);
    assert.equal(new Set(wave.begun).size, MACHINES);
    assert.equal(wave.begun.length, MACHINES);
  });

  it('does not count a machine that the provider has removed', () => {
    const wave = new WaveSimulation();
    wave.machines.delete('m-3');
    wave.hosts.delete('m-3');
    let isCompleted = false;
    while (wave.now < DURATION_MS && !isCompleted) {
      isCompleted = wave.run(100).completed.length > 0;
    }
    assert.ok(isCompleted);
    assert.ok(!wave.begun.includes('m-3'));
  });

  it('leaves a host alone that has not answered yet: it may run anything', () => {
    const wave = new WaveSimulation();
    wave.hosts.forEach((host) => {
      Object.assign(host, { isFenced: false });
    });
    while (wave.now < DURATION_MS) wave.run(500);
    assert.deepEqual(wave.begun, []);
  });

  it('moves lasting tasks away within what their job may miss before it maintains a host', () => {
    const rig = new ScheduleRig();
    const hosts = ['h1', 'h2', 'h3', 'h4'];
    rig.shard.updateMachines(
      hosts.map((id) => ({
        name: `machine-of-${id}`,
        pool: 'studio',
        state: 'up' as const,
        dataCentre: 'dc-1',
        hostId: id,
      })),
      0,
    );
    hosts.forEach((id) => rig.addHost(id));
    const steps = [{ count: 3, cpuMilli: 1_000, isLasting: true, mayMiss: 1, maxPerHost: 1 }];
    rig.shard.addJob(buildTrackedJob('a', steps));
    rig.startAll();
    hosts.forEach((id) => rig.report(id));
    const order = {
      wave: 1,
      machines: hosts.map((id) => `machine-of-${id}`),
      durationMs: 10_000,
      cap: 4,
    };
    rig.shard.setWave(order, undefined);
    for (let round = 0; round < 20; round += 1) {
      const commands = rig.plan();
      const stops = commands.filter(({ type }) => type === 'stop');
      assert.ok(stops.length <= 1, 'two tasks of the step are taken away at once');
      const ended = commands.filter(
        (command) =>
          command.type === 'maintain' &&
          [...rig.shard.hosts].some(
            (host) => host.machine === command.order.machine && host.runs.size > 0,
          ),
      );
      assert.deepEqual(ended, [], 'a host is maintained while a lasting task runs there');
      rig.clock.advance(200);
    }
  });

  // Guards against the last machines of a wave that wait for each other: those that are away were
  // counted against the few that were left, although the cap has room for all.
  it('takes all that are left when the planned time is over', () => {
    const wave = new WaveSimulation(2);
    const late = wave.machines.get('m-1') ?? assert.fail('no machine');
    wave.machines.set('m-1', { ...late, state: 'down' });
    wave.run(0.9 * DURATION_MS);
    assert.deepEqual(wave.begun, ['m-0']);
    wave.machines.set('m-1', late);
    wave.run(100);
    assert.deepEqual(wave.begun, ['m-0', 'm-1']);
  });

  // Guards against a machine that is moved when its wave is nearly over: it is away for the time of
  // the move, and its maintenance comes too late.
  it('tells which machines are to stay where they are until they are maintained', () => {
    const wave = new WaveSimulation(2);
    wave.run(0);
    const other = [...wave.machines.keys()].find((name) => !wave.begun.includes(name)) ?? '';
    assert.ok(!wave.planner.isDue(other, wave.now));
    assert.ok(wave.planner.isDue(other, 0.75 * DURATION_MS));
    assert.ok(!wave.planner.isDue(wave.begun[0] ?? '', 0.75 * DURATION_MS));
    assert.ok(!wave.planner.isDue('m-9', 0.75 * DURATION_MS));
  });

  // Guards against a host that is emptied, given up while another one goes, and filled again.
  it('goes on emptying a host while the places are taken by others', () => {
    // Two of five hosts are emptied; when one of them goes, the plan has no place for a second.
    const wave = new WaveSimulation(5);
    const run = { unit: { spec: { isLasting: false } } } as never;
    wave.hosts.forEach((host) => host.runs.set('busy', run));
    const [first = '', second = ''] = wave.run(0).evacuating;
    wave.hosts.get(second)?.runs.clear();
    wave.run(0);
    assert.equal(wave.down, 1);
    assert.ok(wave.run(0).evacuating.has(first));
  });
});
