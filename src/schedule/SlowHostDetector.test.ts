import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import type { ShardCommand } from './mod.js';
import type { Run } from './Run.js';

/** Tasks of 2 s, each of which requests half of a host's CPU. */
const STEP = { count: 4, cpuMilli: 8_000, estimateMs: 2_000 };

/** Creates a shard with two hosts that run two tasks each. */
function createRunningRig(): { rig: ScheduleRig; runs: Run[] } {
  const rig = new ScheduleRig();
  rig.addHost('h1');
  rig.addHost('h2');
  rig.shard.addJob(buildTrackedJob('a', [STEP]));
  return { rig, runs: rig.startAll() };
}

/** Reports the progress of a host's runs, in the order of their starts. */
function reportProgress(
  rig: ScheduleRig,
  id: string,
  percents: readonly number[],
  fields: { clockMs?: number } = {},
): void {
  const runs = [...(rig.shard.findHost(id)?.runs.values() ?? [])];
  rig.report(id, {
    ...fields,
    running: runs.map(({ task, number }, index) => ({
      task,
      run: number,
      checkpoint: '',
      percent: percents[index] ?? 0,
      load: 1_000,
    })),
  });
}

function listStopped(commands: readonly ShardCommand[]): string[] {
  return commands.flatMap((command) => (command.type === 'stop' ? [command.host.id] : []));
}

describe('SlowHostDetector', () => {
  // Guards against tasks that are stuck on a hanging host, and against new tasks that are started
  // there meanwhile.
  it('restarts the runs of a hanging host on other hosts and starts no new ones there', () => {
    const { rig } = createRunningRig();
    rig.output.commands.length = 0;
    [0, 1, 2, 3].forEach((second) => {
      reportProgress(rig, 'h1', [10, 12]);
      reportProgress(rig, 'h2', [second * 30 + 5, second * 30 + 5]);
      rig.clock.advance(600);
    });
    assert.deepEqual(listStopped(rig.output.commands), ['h1', 'h1']);
    rig.shard.findHost('h1')?.runs.forEach((run) => {
      rig.shard.reportStop(run.host, run, { type: 'done', clockMs: undefined });
      rig.end(run, 'stopped');
    });
    rig.shard.addJob(buildTrackedJob('b', [{ ...STEP, count: 1 }]));
    assert.ok(rig.startAll().every(({ host }) => host.id === 'h2'));
  });

  it('suspends a host that has become several times slower', () => {
    const { rig } = createRunningRig();
    rig.output.commands.length = 0;
    [5, 35, 65, 70].forEach((percent) => {
      reportProgress(rig, 'h1', [percent, percent]);
      rig.clock.advance(600);
    });
    assert.ok((rig.shard.findHost('h1')?.suspendedUntil ?? 0) > rig.clock.readMonotonic());
  });

  // Guards against suspending a host because of one task that is slow or hangs by itself.
  it('does not suspend a host on which another task makes progress', () => {
    const { rig } = createRunningRig();
    rig.output.commands.length = 0;
    [0, 1, 2, 3].forEach((second) => {
      reportProgress(rig, 'h1', [10, second * 30]);
      rig.clock.advance(600);
    });
    assert.deepEqual(listStopped(rig.output.commands), []);
    assert.equal(rig.shard.findHost('h1')?.suspendedUntil, 0);
  });

  // Guards against suspending hosts because a submitter's estimate was much too short.
  it('does not treat a run that makes progress as slow because of its estimate', () => {
    const { rig } = createRunningRig();
    [1, 2, 3, 4, 5].forEach((percent) => {
      reportProgress(rig, 'h1', [percent, percent]);
      rig.clock.advance(1_000);
    });
    assert.equal(rig.shard.findHost('h1')?.suspendedUntil, 0);
  });

  // Guards against errors from a delayed report, which the next one follows immediately.
  it("measures speed by the host's clock", () => {
    const { rig } = createRunningRig();
    reportProgress(rig, 'h1', [0, 0], { clockMs: 0 });
    reportProgress(rig, 'h1', [30, 30], { clockMs: 600 });
    rig.clock.advance(3_000);
    reportProgress(rig, 'h1', [31, 31], { clockMs: 610 });
    assert.equal(rig.shard.findHost('h1')?.suspendedUntil, 0);
  });

  // Guards against suspending hosts after a takeover: a run that a previous owner started seems
  // short if only its end is observed, and the remaining runs of its step then seem slow.
  it('ignores the run times of runs that a previous owner started', () => {
    const rig = new ScheduleRig({ token: 2, claimOffset: 500, isFirst: false, unrecorded: [] });
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [STEP]));
    const list = (indexes: readonly number[], percent: number): void => {
      const running = indexes.map((index) => ({
        ...{ task: `a.0.0.${index}`, run: 1, percent, checkpoint: '', load: 1_000 },
      }));
      const done = [0, 1].filter((index) => !indexes.includes(index));
      const ended = done.map((index) => ({
        ...{ sequence: index + 1, task: `a.0.0.${index}`, run: 1, outcome: 'done' as const },
        checkpoint: '',
      }));
      rig.report('h1', { running, ended });
    };
    list([0, 1, 2, 3], 5);
    rig.clock.advance(50);
    list([2, 3], 8);
    [38, 68].forEach((percent) => {
      rig.clock.advance(600);
      list([2, 3], percent);
    });
    assert.equal(rig.shard.findHost('h1')?.runs.size, 2);
    assert.equal(rig.shard.findHost('h1')?.suspendedUntil, 0);
  });
});
