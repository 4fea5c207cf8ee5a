import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/readSeed.js';
import type { StoreRecord } from '../port/mod.js';
import { describeJobState } from './describeJobState.js';
import { WorkLogView } from './WorkLogView.js';

const JOB = {
  queue: 'renders',
  pool: 'studio',
  rule: { priority: 0, maxAttempts: 3, stretch: 2, latencyTargetMs: 600 },
  submittedAtMs: 1,
  spec: { payload: 'x', steps: [{ count: 1 }] },
};
const PROGRESS = { token: 1, state: 'active', occurrences: [] };

function buildRecords(entries: [string, unknown][]): StoreRecord[] {
  return entries.map(([key, value], offset) => ({
    offset,
    key,
    value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)),
  }));
}

function applyAll(records: readonly StoreRecord[]): WorkLogView {
  const view = new WorkLogView();
  records.forEach((record) => view.apply(record));
  return view;
}

function describeView(view: WorkLogView): unknown {
  return {
    jobs: [...view.jobs].map((job) => [job.id, describeJobState(job)]).sort(),
    waiting: view.countWaiting('renders'),
    owner: view.owner,
  };
}

describe('WorkLogView', () => {
  it('counts a job as waiting until it starts or is cancelled', () => {
    const steps: [string, unknown, number][] = [
      ['job/a', JOB, 1],
      ['job/b', JOB, 2],
      ['job/a', JOB, 2],
      ['progress/a', PROGRESS, 1],
      ['cancel/a', { atMs: 5 }, 1],
      ['cancel/b', { atMs: 5 }, 0],
      ['progress/b', { ...PROGRESS, state: 'cancelled' }, 0],
    ];
    const view = new WorkLogView();
    steps.forEach(([key, value, waiting], offset) => {
      view.apply({ offset, key, value: Buffer.from(JSON.stringify(value)) });
      assert.equal(view.countWaiting('renders'), waiting, `after ${key} at ${offset}`);
    });
  });

  // Guards against jobs that are counted as begun too early (MIXED): the owner records a start before
  // it orders it, and the order may not be answered.
  it('counts a job as waiting and queued until a host has started a task', () => {
    const view = applyAll(
      buildRecords([
        ['job/a', JOB],
        ['progress/a', { ...PROGRESS, hasBegun: false }],
      ]),
    );
    assert.deepEqual(describeView(view), { jobs: [['a', 'queued']], waiting: 1, owner: undefined });
    const begun = Buffer.from(JSON.stringify({ ...PROGRESS, hasBegun: true }));
    view.apply({ offset: 2, key: 'progress/a', value: begun });
    assert.deepEqual(describeView(view), {
      jobs: [['a', 'running']],
      waiting: 0,
      owner: undefined,
    });
  });

  it('applies a cancellation that is read before its job', () => {
    const view = applyAll(
      buildRecords([
        ['cancel/a', { atMs: 5 }],
        ['job/a', JOB],
      ]),
    );
    const job = view.get('a');
    assert.ok(job !== undefined);
    assert.equal(describeJobState(job), 'cancelled');
    assert.equal(view.countWaiting('renders'), 0);
  });

  it('skips records that it cannot decode', () => {
    const view = new WorkLogView();
    const undecodable: StoreRecord[] = [
      { offset: 0, key: 'job/a', value: Buffer.from('{') },
      { offset: 1, key: 'job/b', value: Buffer.from('{"queue":7}') },
      { offset: 2, key: 'other', value: Buffer.from('1') },
    ];
    undecodable.forEach((record) => assert.equal(view.apply(record)?.type, 'unreadable'));
    assert.equal(view.size, 0);
  });

  it('yields the same state from the newest record of each key as from the full log', () => {
    const id = fc.constantFrom('a', 'b', 'c');
    const entry = fc.oneof(
      id.map((one): [string, unknown] => [`job/${one}`, JOB]),
      id.map((one): [string, unknown] => [`cancel/${one}`, { atMs: 5 }]),
      fc
        .tuple(id, fc.constantFrom('active', 'completed', 'failed'))
        .map(([one, state]): [string, unknown] => [`progress/${one}`, { ...PROGRESS, state }]),
      fc
        .nat(5)
        .map((token): [string, unknown] => [
          'owner',
          { token: token + 1, node: 'n', session: 's' },
        ]),
    );
    fc.assert(
      fc.property(fc.array(entry, { maxLength: 40 }), fc.nat(40), (entries, overlapStart) => {
        const records = buildRecords(entries);
        const newest = new Map(records.map((record) => [record.key, record]));
        const pages = [...newest.values()].sort((one, other) => (one.key < other.key ? -1 : 1));
        // The pages overlap with the log records that are read after them.
        const overlapping = [...pages, ...records.slice(Math.min(overlapStart, records.length))];
        assert.deepEqual(describeView(applyAll(overlapping)), describeView(applyAll(records)));
      }),
      { seed: readSeed() },
    );
  });
});
