import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { buildTrackedJob, buildQueueConfig } from '../testing/ScheduleRig.js';
import { ScheduledJob } from './ScheduledJob.js';

describe('ScheduledStep', () => {
  // Guards against a typical run time that is distorted by one much shorter or longer task.
  it('finds the median run time of its completed tasks', () => {
    const job = new ScheduledJob(buildTrackedJob('a', [{ count: 5 }]), buildQueueConfig());
    const step = job.openOccurrences(0)[0]?.steps[0];
    assert.equal(step?.findMedianRunTime(), undefined);
    [900, 20, 1_000, 60_000, 1_100].forEach((runMs) => step?.recordRunTime(runMs));
    assert.equal(step?.findMedianRunTime(), 1_000);
  });
});
