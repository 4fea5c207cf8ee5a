import assert from 'node:assert/strict';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { Worker } from 'node:worker_threads';
import { JobSpec } from '../task/mod.js';
import { buildQueueConfig, buildTrackedJob, ScheduleRig } from '../testing/ScheduleRig.js';
import { RunLimit } from './RunLimit.js';
import { ScheduledJob } from './ScheduledJob.js';

/** A third of the heap that the deploy file allows. */
const MAX_HEAP_MB = 53;
const WORKER = new URL('../testing/scheduleLargeJob.js', import.meta.url);

describe('a large job', () => {
  // Guards against an accepted job that ends every owner of the shard, one after the other (LOST):
  // objects for the tasks of all of its steps did not fit into the heap.
  it('is scheduled beside a usual one without an object for each of its tasks', async () => {
    const worker = new Worker(WORKER, {
      resourceLimits: { maxOldGenerationSizeMb: MAX_HEAP_MB, maxYoungGenerationSizeMb: 8 },
    });
    const [started] = (await once(worker, 'message')) as [number];
    assert.equal(started, 4);
    await worker.terminate();
  });

  // Guards against a recurring job that opens all of its occurrences at once.
  it('opens a bounded number of occurrences that are due at the same time', () => {
    const spec = JobSpec.parse({
      payload: '',
      steps: [{ count: 1 }, { count: 1 }],
      repeat: { count: 1_000, startAtMs: 0, intervalMs: 0 },
    });
    const job = new ScheduledJob(
      buildTrackedJob('a', [{ count: 1 }], { spec }),
      buildQueueConfig(),
    );
    assert.equal(job.openOccurrences(1_000).length, 500);
    assert.equal(job.openOccurrences(1_000).length, 0);
    job.finishOccurrence(0);
    assert.deepEqual(
      job.openOccurrences(1_000).map(({ number }) => number),
      [500],
    );
  });

  // Guards against tasks that request nothing and therefore all run at the same time.
  it('starts a bounded number of tasks at the same time', () => {
    const limit = new RunLimit();
    for (let run = 0; run < 20_000; run += 1) limit.add('a');
    assert.equal(limit.canStart('a', 1), false);
    assert.equal(limit.canStart('b', 20_000), true);
    limit.remove('a');
    assert.equal(limit.canStart('a', 1), true);
    assert.equal(limit.canStart('a', 2), false);
  });

  // Guards against an owner that is silent for seconds while it plans the starts of one job, so that
  // another node claims the shard, which does the same (LOST).
  it('plans a bounded number of starts at once, and the others when these have an outcome', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 2_500 }]));
    assert.deepEqual(
      [1, 2, 3, 4].map(() => rig.startAll().length),
      [1_000, 1_000, 500, 0],
    );
  });

  it('starts the following tasks when earlier ones are done, each of them once', () => {
    const rig = new ScheduleRig();
    rig.addHost('h1');
    rig.shard.addJob(buildTrackedJob('a', [{ count: 40, cpuMilli: 1_000 }]));
    const tasks: string[] = [];
    for (let runs = rig.startAll(); runs.length > 0; runs = rig.startAll()) {
      runs.forEach((run, index) => {
        tasks.push(run.task);
        rig.end(run, index === 0 && tasks.length < 17 ? 'failed' : 'done');
      });
    }
    assert.equal(tasks.length, 41);
    assert.equal(new Set(tasks).size, 40);
    assert.equal(rig.shard.takeDirtyJobs()[0]?.finalState, 'completed');
  });
});
