import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildHostEntry, buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import type { Run, ShardCommand } from './mod.js';

/** Start times of two incarnations of a host, in ms since the Unix epoch. */
const FIRST_START = 1_000;
const SECOND_START = 9_000;

function listStarted(commands: readonly ShardCommand[]): string[] {
  return commands.flatMap((command) => (command.type === 'start' ? [command.run.host.id] : []));
}

/** Starts one task on host `h1`, up for `uptimeMs`; host `h2` is free and could run it, too. */
function startOnFirstHost(uptimeMs = 0): { rig: ScheduleRig; run: Run } {
  const rig = new ScheduleRig();
  rig.clock.advance(uptimeMs);
  rig.addHost('h1', { startedAtMs: FIRST_START });
  rig.shard.addJob(buildTrackedJob('a', [{ count: 1, cpuMilli: 1_000 }]));
  const [command] = rig.plan();
  assert.ok(command?.type === 'start');
  rig.addHost('h2', { startedAtMs: FIRST_START });
  rig.clock.advance(10);
  return { rig, run: command.run };
}

describe('a host that restarts under its identifier', () => {
  // Guards against two runs of one task (TWICE): the host had accepted the start after its restart,
  // and the report that showed the restart was taken for the end of the run.
  it('keeps a run that the later incarnation lists', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START });
    assert.deepEqual(listStarted(rig.plan()), []);
    assert.equal(run.state, 'running');
    rig.end(run, 'done');
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });

  // Guards against the same fault if the entry of the later incarnation is read before its report.
  it('restarts its tasks only after a report of the later incarnation', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.shard.updateHost(buildHostEntry('h1', { startedAtMs: SECOND_START }));
    assert.deepEqual(listStarted(rig.plan()), []);
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    assert.equal(listStarted(rig.plan()).length, 1);
  });

  // Guards against tasks that stand still: the runs of the former incarnation have ended.
  it('restarts a task elsewhere that the later incarnation does not list', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    // The capacity of the later incarnation is not known before its entry is read.
    assert.deepEqual(listStarted(rig.plan()), ['h2']);
  });

  // Guards against a delayed start that the later incarnation executes: it knows of no earlier stop.
  it('restarts a task whose start was not answered only after another stop was answered', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'unanswered' });
    rig.report('h1', { startedAtMs: FIRST_START, running: [] });
    const stop = rig.output.commands.find(({ type }) => type === 'stop');
    assert.ok(stop?.type === 'stop');
    rig.shard.reportStop(run.host, stop, { type: 'done', clockMs: undefined });
    rig.clock.advance(800);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    const commands = rig.plan();
    assert.deepEqual(listStarted(commands), []);
    assert.equal(commands.filter(({ type }) => type === 'stop').length, 1);
    rig.shard.reportStop(run.host, stop, { type: 'done', clockMs: undefined });
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    assert.deepEqual(listStarted(rig.plan()), ['h2']);
  });

  it('ignores late messages of the former incarnation', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START });
    rig.shard.updateHost(buildHostEntry('h1', { startedAtMs: FIRST_START }));
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: FIRST_START, running: [] });
    assert.deepEqual(listStarted(rig.plan()), []);
    assert.equal(run.state, 'running');
  });

  // Guards against two runs of one task: the host limits a lease that was computed for the clock of
  // its former incarnation only by the longest lease.
  it('keeps its runs reserved for the longest lease if it is cut off', () => {
    const { rig, run } = startOnFirstHost(60_000);
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.shard.updateHost(buildHostEntry('h1', { startedAtMs: SECOND_START }));
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    rig.shard.reportHoldFailure(host, 'no answer');
    rig.clock.advance(9_900);
    assert.deepEqual(listStarted(rig.plan()), []);
    rig.clock.advance(600);
    assert.equal(listStarted(rig.plan()).length, 1);
  });

  // Guards against a task that stands still: a lease seems to last for the uptime of the former
  // incarnation if only the clock in the answer to a start shows that it has ended.
  it('releases its runs after the longest lease if the restart was not noticed', () => {
    const { rig, run } = startOnFirstHost(60_000);
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    rig.shard.reportHoldFailure(host, 'no answer');
    rig.clock.advance(10_500);
    assert.equal(listStarted(rig.plan()).length, 1);
  });

  // Guards against lost ends: the numbers of the ends start anew, and a record of ends of the former
  // incarnation must not acknowledge those of the later one.
  it('acknowledges only ends of the incarnation that reported them', () => {
    const { rig, run } = startOnFirstHost();
    const { host } = run;
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.end(run, 'done');
    const { processedEnd, restartCount } = host;
    rig.clock.advance(10);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    host.acknowledge(processedEnd, restartCount);
    assert.equal(processedEnd, 1);
    assert.equal(host.acknowledgedEnd, 0);
  });

  // Guards against two runs of one task: a later owner may have noticed the restart and have started
  // the tasks elsewhere, while the host has seen no token but that of this owner.
  it('keeps its runs while the owner is out of contact with the store', () => {
    const { rig, run } = startOnFirstHost();
    rig.shard.reportStart(run, { type: 'done', clockMs: 5 });
    rig.clock.advance(10);
    rig.shard.setDetached(true);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    assert.deepEqual(listStarted(rig.plan()), []);
    rig.shard.setDetached(false);
    rig.report('h1', { startedAtMs: SECOND_START, running: [] });
    assert.deepEqual(listStarted(rig.plan()), ['h2']);
  });
});
