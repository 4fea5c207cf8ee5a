import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Machine, MachineResponse } from '../port/mod.js';
import { buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import type { MaintainCommand } from './mod.js';

const HOSTS = ['h1', 'h2', 'h3'];
/** Delay in ms after which an order is repeated, and a little more. */
const REPEAT_MS = 1_100;

function buildMachine(hostId: string): Machine {
  const name = `machine-of-${hostId}`;
  return { name, pool: 'studio', state: 'up', dataCentre: 'dc-1', hostId };
}

const ORDER = {
  wave: 1,
  machines: HOSTS.map((id) => `machine-of-${id}`),
  durationMs: 60_000,
  cap: 1,
};

/** Three idle hosts whose machines form a wave, one at a time. */
class WaveRig extends ScheduleRig {
  constructor(...takeover: ConstructorParameters<typeof ScheduleRig>) {
    super(...takeover);
    this.shard.updateMachines(HOSTS.map(buildMachine), 0);
    HOSTS.forEach((id) => this.addHost(id));
  }

  /** Plans after a pause and returns the orders to maintain machines. */
  planOrders(afterMs = 50): MaintainCommand[] {
    this.clock.advance(afterMs);
    return this.plan().flatMap((command) => (command.type === 'maintain' ? [command] : []));
  }

  answer(order: MaintainCommand, answer: MachineResponse | { type: 'unanswered' }): void {
    this.shard.reportMachineResponse(order, answer);
  }

  /** Plans, and reports that the first order was not answered. */
  sendUnanswered(): MaintainCommand {
    const [order] = this.planOrders();
    assert.ok(order !== undefined);
    this.answer(order, { type: 'unanswered' });
    return order;
  }
}

describe('an order to maintain a machine without an answer', () => {
  // Guards against more machines in maintenance than the cap allows (LIMIT): the order may be
  // executed seconds later.
  it('counts against the cap until a repeated order is accepted', () => {
    const rig = new WaveRig();
    rig.shard.setWave(ORDER, undefined);
    const order = rig.sendUnanswered();
    assert.deepEqual(rig.planOrders(), []);
    const [repeated, ...others] = rig.planOrders(REPEAT_MS);
    assert.equal(repeated?.machine, order.machine);
    assert.deepEqual(others, []);
    rig.answer(repeated, { type: 'done' });
    const ended = HOSTS.map(buildMachine).map((machine): Machine =>
      machine.name === order.machine
        ? { ...machine, state: 'maintenance', hostId: undefined }
        : machine,
    );
    rig.clock.advance(10);
    rig.shard.updateMachines(ended, rig.clock.readMonotonic());
    assert.deepEqual(rig.planOrders(REPEAT_MS), []);
    rig.addHost('h9', { machine: order.machine });
    const isMaintained = ({ name }: Machine): boolean => name === order.machine;
    const upAgain = HOSTS.map(buildMachine).map((machine) =>
      isMaintained(machine) ? { ...machine, hostId: 'h9' } : machine,
    );
    rig.shard.updateMachines(upAgain, rig.clock.readMonotonic());
    const [next] = rig.planOrders(REPEAT_MS);
    assert.ok(next !== undefined && next.machine !== order.machine);
  });

  it('counts against the cap after the repeated order was refused', () => {
    const rig = new WaveRig();
    rig.shard.setWave(ORDER, undefined);
    const order = rig.sendUnanswered();
    const [repeated] = rig.planOrders(REPEAT_MS);
    assert.ok(repeated !== undefined);
    rig.answer(repeated, { type: 'busy' });
    assert.deepEqual(rig.planOrders(), []);
    assert.deepEqual(
      rig.planOrders(REPEAT_MS).map(({ machine }) => machine),
      [order.machine],
    );
  });

  // Guards against work that the late order ends.
  it('keeps its host without work', () => {
    const rig = new WaveRig();
    rig.shard.setWave(ORDER, undefined);
    const { machine } = rig.sendUnanswered();
    rig.planOrders(5_000);
    rig.shard.addJob(buildTrackedJob('a', [{ count: 3, cpuMilli: 1_000, maxPerHost: 1 }]));
    const used = rig.startAll().map(({ host }) => host.machine);
    assert.equal(used.length, 2);
    assert.ok(!used.includes(machine));
  });

  // Guards against the same fault after a change of the owner, whose orders fence the late one only
  // at the same machine.
  it('counts against the cap of the next owner', () => {
    const rig = new WaveRig();
    rig.shard.setWave(ORDER, undefined);
    const [order] = rig.planOrders();
    assert.ok(order !== undefined);
    const [[, record] = []] = rig.shard.takeDirtyWaves();
    assert.deepEqual(record?.ordered, [order.machine]);
    const next = new WaveRig({ token: 2, isFirst: false, unrecorded: [] });
    next.shard.setWave(ORDER, record);
    assert.deepEqual(
      next.planOrders().map(({ machine }) => machine),
      [order.machine],
    );
    assert.deepEqual(next.planOrders(REPEAT_MS), []);
  });

  it('ends when the provider has removed the machine', () => {
    const rig = new WaveRig();
    rig.shard.setWave(ORDER, undefined);
    const order = rig.sendUnanswered();
    const others = HOSTS.map(buildMachine).filter(({ name }) => name !== order.machine);
    rig.clock.advance(10);
    rig.shard.updateMachines(others, rig.clock.readMonotonic());
    assert.equal(rig.planOrders(REPEAT_MS).length, 1);
  });
});
