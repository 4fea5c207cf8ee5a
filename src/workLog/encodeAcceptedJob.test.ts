import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { JobSpec } from '../task/mod.js';
import { encodeAcceptedJob } from './encodeAcceptedJob.js';
import { AcceptedJob } from './WorkLogRecord.js';

function buildJob(steps: readonly object[]): AcceptedJob {
  return {
    queue: 'renders',
    pool: 'studio',
    rule: { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600 },
    submittedAtMs: 1,
    dataCentre: 'dc-1',
    spec: JobSpec.parse({ payload: 'x', steps }),
  };
}

describe('encodeAcceptedJob', () => {
  it('keeps every field that has not its default value', () => {
    const job = buildJob([
      { count: 3, cpuMilli: 500, estimateMs: 900, checkpoints: true },
      { count: 1, after: [0], gang: true, requiredLabel: 'a', mayMiss: 1, isLasting: true },
    ]);
    assert.deepEqual(AcceptedJob.parse(JSON.parse(encodeAcceptedJob(job))), job);
  });

  // Guards against records of many small steps that are larger than the store accepts, although the
  // body of the submission is not.
  it('encodes a job of many small steps in a record of about the size of its body', () => {
    const steps = Array.from({ length: 1_000 }, () => ({ count: 1 }));
    assert.ok(encodeAcceptedJob(buildJob(steps)).length < 20_000);
  });
});
