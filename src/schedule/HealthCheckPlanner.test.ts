import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import type { Run } from './Run.js';

/** Creates a shard whose pool has a health check, with one host that runs four tasks. */
function createRig(): { rig: ScheduleRig; runs: Run[] } {
  const rig = new ScheduleRig({}, undefined, { healthPath: '/health' });
  rig.addHost('h1');
  rig.shard.addJob(buildTrackedJob('a', [{ count: 4, cpuMilli: 1_000, estimateMs: 2_000 }]));
  return { rig, runs: rig.startAll() };
}

function countHealthChecks({ output }: ScheduleRig): number {
  return output.commands.filter(({ type }) => type === 'check-health').length;
}

/** Ends a run and reports the result of the health check that follows, if there is one. */
function endAndReportHealth(
  rig: ScheduleRig,
  run: Run | undefined,
  outcome: 'done' | 'failed',
  isWell: boolean | undefined,
): void {
  assert.ok(run !== undefined);
  rig.output.commands.splice(0);
  rig.end(run, outcome);
  if (countHealthChecks(rig) > 0) rig.shard.reportHealth(run.host, isWell);
}

describe('HealthCheckPlanner', () => {
  // Guards against health checks of unsuspected hosts, since every check incurs a cost.
  it('does not check a host without failed runs', () => {
    const { rig, runs } = createRig();
    endAndReportHealth(rig, runs[0], 'done', undefined);
    assert.equal(countHealthChecks(rig), 0);
  });

  // Guards against waiting for three failed runs on a host that would report itself unhealthy.
  it('suspends a host that reports unhealthy after its first failure', () => {
    const { rig, runs } = createRig();
    endAndReportHealth(rig, runs[0], 'failed', false);
    assert.equal(countHealthChecks(rig), 1);
    assert.equal(rig.shard.findHost('h1')?.isAvailable(rig.clock.readMonotonic()), false);
    rig.clock.advance(2_100);
    assert.equal(rig.shard.findHost('h1')?.isAvailable(rig.clock.readMonotonic()), true);
  });

  // Guards against wrong results: hosts with failing runs that report healthy, and the reverse.
  it('gives the outcomes of runs precedence over the results of health checks', () => {
    const { rig, runs } = createRig();
    endAndReportHealth(rig, runs[0], 'failed', true);
    assert.equal(rig.shard.findHost('h1')?.failuresInRow, 1);
    endAndReportHealth(rig, runs[1], 'done', undefined);
    const host = rig.shard.findHost('h1');
    assert.ok(host !== undefined);
    rig.shard.reportHealth(host, false);
    assert.equal(host.suspendedUntil, 0);
  });

  it('checks a host at most once per second', () => {
    const { rig, runs } = createRig();
    endAndReportHealth(rig, runs[0], 'failed', undefined);
    assert.equal(countHealthChecks(rig), 1);
    endAndReportHealth(rig, runs[1], 'failed', undefined);
    assert.equal(countHealthChecks(rig), 0);
    rig.clock.advance(1_000);
    endAndReportHealth(rig, runs[2], 'failed', undefined);
    assert.equal(countHealthChecks(rig), 1);
  });
});
