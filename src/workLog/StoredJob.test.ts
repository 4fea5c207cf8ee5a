import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { JobSpec } from '../task/mod.js';
import { StoredJob } from './StoredJob.js';
import { JobProgress, WorkLogKey, type AcceptedJob } from './WorkLogRecord.js';

const ACCEPTED: AcceptedJob = {
  queue: 'renders',
  pool: 'studio',
  rule: { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600 },
  submittedAtMs: 1,
  dataCentre: 'dc-1',
  spec: JobSpec.parse({ payload: 'x', steps: [{ count: 1 }] }),
};

function openJob(): { job: StoredJob; decoded: string[] } {
  const decoded: string[] = [];
  const head = { id: 'a', acceptedOffset: 4, key: 'accepted-job/a/dc-1' };
  const decodeProgress = (value: Buffer): JobProgress | undefined => {
    decoded.push(String(value));
    if (String(value) === 'odd') return undefined;
    return JobProgress.parse({ token: Number(value), state: 'active', occurrences: [] });
  };
  const job = new StoredJob(head, ACCEPTED, { decodeProgress, decodePart: () => undefined });
  return { job, decoded };
}

describe('WorkLogKey', () => {
  // Guards against submissions of an organisation with a long name, all of which the store rejects.
  it('keeps keys short and distinct for long names of organisations', () => {
    const names = ['x'.repeat(300), `${'x'.repeat(299)}y`, 'ü'.repeat(40), 'ü'.repeat(39)];
    const id = '5c0e7a21d94b36f8';
    const keys = names.flatMap((name) => [
      WorkLogKey.job(id, 'dc-1', name),
      WorkLogKey.earlyCancel(id, 'renders', name),
    ]);
    assert.equal(new Set(keys).size, keys.length);
    keys.forEach((key) => assert.ok(Buffer.byteLength(key) <= 100, key));
    assert.equal(WorkLogKey.job(id, 'dc-1', 'acme'), `accepted-job/${id}/dc-1/acme`);
  });
});

describe('StoredJob', () => {
  // Guards against a cost of nodes times records: of many progress records only the newest is used.
  it('decodes only the newest progress, once, when it is asked for', () => {
    const { job, decoded } = openJob();
    assert.equal(job.hasProgress, false);
    ['1', '2', '3'].forEach((value) => job.setProgress(Buffer.from(value)));
    assert.equal(job.hasProgress, true);
    assert.deepEqual(decoded, []);
    assert.equal(job.progress?.token, 3);
    assert.equal(job.progress?.token, 3);
    assert.deepEqual(decoded, ['3']);
  });

  // Guards against finished tasks that run again because one record is not readable.
  it('keeps the last readable progress if the newest record is not readable', () => {
    const { job } = openJob();
    job.setProgress(Buffer.from('1'));
    job.setProgress(Buffer.from('odd'));
    assert.equal(job.progress?.token, 1);
    job.setProgress(Buffer.from('odd'));
    assert.equal(job.progress?.token, 1);
  });
});
