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

function fold(records: readonly StoreRecord[]): WorkLogView {
  const book = new WorkLogView();
  records.forEach((record) => book.apply(record));
  return book;
}

function describeBook(book: WorkLogView): unknown {
  return {
    jobs: [...book.jobs].map((job) => [job.id, describeJobState(job)]).sort(),
    waiting: book.countWaiting('renders'),
    owner: book.owner,
  };
}

describe('JobBook', () => {
  it('counts a job as waiting until it begins or is cancelled', () => {
    const steps: [string, unknown, number][] = [
      ['job/a', JOB, 1],
      ['job/b', JOB, 2],
      ['job/a', JOB, 2],
      ['progress/a', PROGRESS, 1],
      ['cancel/a', { atMs: 5 }, 1],
      ['cancel/b', { atMs: 5 }, 0],
      ['progress/b', { ...PROGRESS, state: 'cancelled' }, 0],
    ];
    const book = new WorkLogView();
    steps.forEach(([key, value, waiting], offset) => {
      book.apply({ offset, key, value: Buffer.from(JSON.stringify(value)) });
      assert.equal(book.countWaiting('renders'), waiting, `after ${key} at ${offset}`);
    });
  });

  it('takes a cancellation that is read before its job', () => {
    const book = fold(
      buildRecords([
        ['cancel/a', { atMs: 5 }],
        ['job/a', JOB],
      ]),
    );
    const job = book.get('a');
    assert.ok(job !== undefined);
    assert.equal(describeJobState(job), 'cancelled');
    assert.equal(book.countWaiting('renders'), 0);
  });

  it('passes over records that it cannot read', () => {
    const book = new WorkLogView();
    const bad: StoreRecord[] = [
      { offset: 0, key: 'job/a', value: Buffer.from('{') },
      { offset: 1, key: 'job/b', value: Buffer.from('{"queue":7}') },
      { offset: 2, key: 'other', value: Buffer.from('1') },
    ];
    bad.forEach((record) => assert.equal(book.apply(record)?.type, 'unreadable'));
    assert.equal(book.size, 0);
  });

  it('is the same from the newest record of each key as from the whole log', () => {
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
      fc.property(fc.array(entry, { maxLength: 40 }), fc.nat(40), (entries, cut) => {
        const records = buildRecords(entries);
        const newest = new Map(records.map((record) => [record.key, record]));
        const pages = [...newest.values()].sort((one, other) => (one.key < other.key ? -1 : 1));
        // Pages overlap with the records that are read after them.
        const overlapping = [...pages, ...records.slice(Math.min(cut, records.length))];
        assert.deepEqual(describeBook(fold(overlapping)), describeBook(fold(records)));
      }),
      { seed: readSeed() },
    );
  });
});
