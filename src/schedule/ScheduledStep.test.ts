import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTrackedJob, buildQueueConfig } from '../testing/ScheduleRig.js';
import { ScheduledJob } from './ScheduledJob.js';

describe('ScheduledStep', () => {
  // Guards against a typical time that one task of a step, much shorter or longer, decides.
  it('finds the median run time of its finished tasks', () => {
    const job = new ScheduledJob(buildTrackedJob('a', [{ count: 5 }]), buildQueueConfig());
    const step = job.openOccurrences(0)[0]?.steps[0];
    assert.equal(step?.findMedianRunTime(), undefined);
    [900, 20, 1_000, 60_000, 1_100].forEach((runMs) => step?.recordRunTime(runMs));
    assert.equal(step?.findMedianRunTime(), 1_000);
  });
});
