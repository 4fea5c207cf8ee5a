import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { buildHostEntry, buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import { FaultyHostDetector } from './FaultyHostDetector.js';
import { ManagedHost } from './ManagedHost.js';

function buildHosts(count: number): ManagedHost[] {
  return Array.from(
    { length: count },
    (_, index) => new ManagedHost(buildHostEntry(`h${index}`), 0),
  );
}

const HOSTS = ['h1', 'h2', 'h3'];
const TASKS = 20;
const STEP_MS = 100;
/** A run fails in one of so many steps, which is after 10 s on average. */
const STEPS_PER_FAILURE = 100;
const STEPS = 850;
/** Callers count a task as lost 3 s after the 6 s in which it has to be at work again. */
const MAX_GAP_MS = 9_000;

describe('FaultyHostDetector', () => {
  // Guards against sound hosts that are suspended for longer and longer (LOST): long-running tasks
  // never end as done, and every one of their failures counted against their host.
  it('keeps hosts in use whose long-running tasks fail now and then', () => {
    fc.assert(
      fc.property(fc.infiniteStream(fc.noBias(fc.nat(STEPS_PER_FAILURE - 1))), (chances) => {
        const rig = new ScheduleRig();
        HOSTS.forEach((id) => rig.addHost(id));
        for (let job = 0; job < 4; job += 1) {
          const count = TASKS / 4;
          const step = { count, cpuMilli: 2_000, memoryMb: 1_000, isLasting: true };
          rig.shard.addJob(buildTrackedJob(`job-${job}`, [step]));
        }
        const endedAt = new Map<string, number>();
        for (let index = 0; index < STEPS; index += 1) {
          rig.clock.advance(STEP_MS);
          const now = rig.clock.readMonotonic();
          HOSTS.forEach((id) => rig.report(id));
          rig.startAll().forEach((run) => endedAt.delete(run.task));
          endedAt.forEach((at, task) =>
            assert.ok(now - at <= MAX_GAP_MS, `${task} has had no run for ${now - at} ms`),
          );
          HOSTS.flatMap((id) => [...(rig.shard.findHost(id)?.runs.values() ?? [])]).forEach(
            (run) => {
              if (chances.next().value !== 0) return;
              rig.end(run, 'failed');
              endedAt.set(run.task, now);
            },
          );
        }
      }),
      { seed: readSeed(), numRuns: 5 },
    );
  });

  // Guards against a pool whose hosts are all suspended since its jobs fail everywhere.
  it('suspends a host only if runs fail there more often than on the other hosts', () => {
    const detector = new FaultyHostDetector();
    const [faulty, ...others] = buildHosts(6);
    assert.ok(faulty !== undefined);
    const fail = (host: ManagedHost): number[] =>
      ['a', 'b', 'c'].map((job) => detector.reportFailure(host, job, 0));
    others.forEach((host) => detector.reportSuccess(host, 0));
    assert.ok((fail(faulty)[2] ?? 0) > 0);
    others.forEach((host) => {
      for (let run = 0; run < 4; run += 1) detector.reportFailure(host, 'd', 0);
    });
    const [, second] = others;
    assert.ok(second !== undefined);
    assert.deepEqual(fail(second), [0, 0, 0]);
  });

  // Guards against failures that count together although hours lie between them.
  it('forgets failures and suspensions after a while', () => {
    const detector = new FaultyHostDetector();
    const [host] = buildHosts(1);
    assert.ok(host !== undefined);
    detector.reportFailure(host, 'a', 0);
    detector.reportFailure(host, 'b', 0);
    assert.equal(detector.reportFailure(host, 'c', 31_000), 0);
    detector.reportFailure(host, 'd', 31_000);
    const first = detector.reportFailure(host, 'e', 31_000);
    assert.ok(first > 0);
    ['a', 'b'].forEach((job) => detector.reportFailure(host, job, 100_000));
    assert.equal(detector.reportFailure(host, 'c', 100_000), first);
  });
});
