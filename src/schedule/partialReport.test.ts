import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { EndedRun } from '../port/mod.js';
import { buildHostEntry, buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import type { Run, ShardCommand } from './mod.js';

const ONE_TASK = [{ count: 1, cpuMilli: 1_000 }];

function countStarts(commands: readonly ShardCommand[]): number {
  return commands.filter(({ type }) => type === 'start').length;
}

function buildEnd(sequence: number, task: string, run: number): EndedRun {
  return { sequence, task, run, outcome: 'done', checkpoint: '' };
}

/** Reports ends of other jobs several times, with further ends behind them. */
function reportPartially(rig: ScheduleRig): void {
  for (let count = 0; count < 4; count += 1) {
    rig.clock.advance(100);
    rig.report('h1', { running: [], ended: [buildEnd(1, 'other.0.0.0', 1)], hasMoreEnds: true });
  }
}

function startTask(rig: ScheduleRig): Run {
  rig.addHost('h1');
  rig.shard.addJob(buildTrackedJob('a', ONE_TASK));
  const [command] = rig.plan();
  assert.ok(command?.type === 'start');
  return command.run;
}

// Guards against tasks that run again after they had ended (TWICE): a host lists its ends up to a
// maximum, and without the store none of them can be acknowledged.
describe('a report that does not contain all ends', () => {
  it('does not show that an unlisted run has been lost', () => {
    const rig = new ScheduleRig();
    const run = startTask(rig);
    rig.shard.reportStart(run, { type: 'done', clockMs: undefined });
    reportPartially(rig);
    assert.ok(rig.output.commands.every(({ type }) => type !== 'stop'));
    assert.equal(countStarts(rig.plan()), 0);
    rig.clock.advance(100);
    rig.report('h1', { running: [], ended: [buildEnd(2, run.task, run.number)] });
    assert.equal(countStarts(rig.plan()), 0);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });

  it('does not show that an unanswered start was not executed', () => {
    const rig = new ScheduleRig();
    const run = startTask(rig);
    rig.shard.reportStart(run, { type: 'unanswered' });
    reportPartially(rig);
    rig.output.commands.forEach((command) => {
      if (command.type !== 'stop') return;
      rig.shard.reportStop(run.host, command, { type: 'done', clockMs: undefined });
    });
    reportPartially(rig);
    assert.equal(countStarts(rig.plan()), 0);
    rig.clock.advance(100);
    rig.report('h1', { running: [], ended: [buildEnd(2, run.task, run.number)] });
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });

  it('does not show a new owner that a recorded run has not ended', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false, unrecorded: [] });
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
          steps: [{ done: [], failed: [], started: [[0, 7, 'h1'] as [number, number, string]] }],
        },
      ],
    };
    rig.shard.addJob(buildTrackedJob('a', ONE_TASK, { progress }));
    rig.addHost('h2');
    rig.shard.updateHost(buildHostEntry('h1'));
    reportPartially(rig);
    // The leases of previous owners have expired, but the end may still be listed.
    rig.clock.advance(60_000);
    rig.report('h2');
    assert.equal(countStarts(rig.plan()), 0);
    rig.report('h1', { running: [], ended: [buildEnd(2, 'a.0.0.0', 7)] });
    assert.equal(countStarts(rig.plan()), 0);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });

  it('does not show a new owner that an unrecorded run has not ended', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false });
    rig.shard.updateMachines([], 0);
    rig.shard.addJob(buildTrackedJob('a', ONE_TASK));
    rig.shard.updateHost(buildHostEntry('h1'));
    rig.shard.updateHost(buildHostEntry('h2'));
    reportPartially(rig);
    rig.report('h2');
    assert.equal(countStarts(rig.plan()), 0);
    rig.report('h1', { running: [], ended: [buildEnd(2, 'a.0.0.0', 7)] });
    assert.equal(countStarts(rig.plan()), 0);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });
});
