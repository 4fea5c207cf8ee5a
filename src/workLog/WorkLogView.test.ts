import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/readSeed.js';
import type { StoreRecord } from '../port/mod.js';
import { describeJobState } from './describeJobState.js';
import { WorkLogKey } from './WorkLogRecord.js';
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

/** Describes everything that a view knows but the offsets of records, which readers may lack. */
function describeAll(view: WorkLogView): unknown {
  const jobs = [...view.jobs].map((job) => {
    const { id, queue, submittedAtMs, dataCentres, spec, cancelledAtMs, progress } = job;
    const recordKeys = [...job.recordKeys].sort();
    return { id, queue, submittedAtMs, dataCentres, recordKeys, spec, cancelledAtMs, progress };
  });
  return {
    state: describeView(view),
    jobs: jobs.sort((one, other) => (one.id < other.id ? -1 : 1)),
    waiting: ['renders', 'scores'].map((queue) => view.countWaiting(queue)),
    nodes: new Map([...view.nodes].sort()),
    waves: new Map([...view.waves].sort()),
    machineOrders: view.machineOrders,
    earlyCancels: view.listEarlyCancels().sort(),
    hasOwnerEnded: view.hasOwnerEnded,
  };
}

/**
 * Reads the newest record of each key into a view, as in pages. The log is followed from `end`; the
 * pages may contain newer records.
 */
function readNewest(
  view: WorkLogView,
  records: readonly StoreRecord[],
  end = records.length,
): WorkLogView {
  const newest = new Map(records.map((record) => [record.key, record]));
  const pages = [...newest.values()]
    .filter(({ value }) => value !== undefined)
    .sort((one, other) => (one.key < other.key ? -1 : 1));
  [...view.listRemoved(pages, end), ...pages].forEach((record) =>
    view.apply(record, { isNewest: true }),
  );
  return view;
}

function followFrom(view: WorkLogView, records: readonly StoreRecord[], from: number): void {
  records.slice(from).forEach((record) => view.apply(record));
}

const jobId = fc.constantFrom('a', 'b', 'c');
const smallNumber = fc.nat(5);
/** Records of one append; a tombstone group removes all records of a job. */
const append = fc.oneof(
  fc
    .record({
      id: jobId,
      dataCentre: fc.constantFrom('dc-1', 'dc-2', 'dc-3'),
      queue: fc.constantFrom('renders', 'scores'),
      submittedAtMs: smallNumber,
      payload: fc.constantFrom('x', 'y'),
    })
    .map(({ id, payload, ...fields }): [string, unknown][] => [
      [
        WorkLogKey.job(id, fields.dataCentre),
        { ...JOB, ...fields, spec: { ...JOB.spec, payload } },
      ],
    ]),
  fc
    .tuple(jobId, smallNumber)
    .map(([id, atMs]): [string, unknown][] => [[WorkLogKey.cancel(id), { atMs }]]),
  // An early cancellation of either queue, or its removal.
  fc
    .tuple(jobId, fc.constantFrom('renders', 'scores'), fc.option(smallNumber))
    .map(([id, queue, atMs]): [string, unknown][] => [
      [WorkLogKey.earlyCancel(id, queue), atMs === null ? undefined : { atMs }],
    ]),
  fc
    .record({
      id: jobId,
      token: smallNumber,
      state: fc.constantFrom('active', 'completed', 'failed'),
      hasBegun: fc.boolean(),
    })
    .map(({ id, ...fields }): [string, unknown][] => [
      [WorkLogKey.progress(id), { ...PROGRESS, ...fields }],
    ]),
  jobId.map((id): [string, unknown][] =>
    ['dc-1', 'dc-2', 'dc-3']
      .map((dataCentre) => WorkLogKey.job(id, dataCentre))
      .concat(WorkLogKey.cancel(id), WorkLogKey.progress(id))
      .map((key) => [key, undefined]),
  ),
  fc.tuple(smallNumber, fc.constantFrom('n', 'm')).map(([number, node]): [string, unknown][] => [
    [WorkLogKey.owner, { token: number + 1, node, session: 's' }],
    [WorkLogKey.node(node), { session: `s-${number}`, address: '', dataCentre: 'dc-1' }],
    [WorkLogKey.wave(number % 2), { seenAtMs: number, begun: [node], isCompleted: number > 3 }],
    [WorkLogKey.machineOrders, { orders: [{ machine: node, ageMs: number }] }],
  ]),
);
const log = fc.array(append, { maxLength: 40 }).map((appends) => buildRecords(appends.flat()));

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

  // Guards against a job that runs although a node that did not know it had cancelled it (UNASKED).
  it('applies an early cancellation to a job of its queue only', () => {
    const early = [WorkLogKey.earlyCancel('a', 'renders'), { atMs: 5 }] as [string, unknown];
    const view = applyAll(buildRecords([early]));
    assert.deepEqual(view.listEarlyCancels(), [early[0]]);
    const [, job] = buildRecords([early, [WorkLogKey.job('a', 'dc-1'), JOB]]);
    assert.ok(job !== undefined);
    view.apply(job);
    assert.equal(view.get('a')?.cancelledAtMs, 5);
    assert.deepEqual(view.get('a')?.recordKeys, [job.key, early[0]]);
    assert.deepEqual(view.listEarlyCancels(), []);
    const other = applyAll(
      buildRecords([early, [WorkLogKey.job('a', 'dc-1'), { ...JOB, queue: 'scores' }]]),
    );
    assert.equal(other.get('a')?.cancelledAtMs, undefined);
  });

  // Guards against a shard without a lasting owner (LOST): nodes that start while the store refuses
  // writes own the shard before they are registered.
  it('takes an owner for ended only if its node has registered since', () => {
    const buildNode = (session: string): [string, unknown] => [
      WorkLogKey.node('n'),
      { session, address: '', dataCentre: 'dc-1' },
    ];
    const owner = (session: string): [string, unknown] => [
      'owner',
      { token: 1, node: 'n', session },
    ];
    const hasEnded = (entries: [string, unknown][]): boolean =>
      applyAll(buildRecords(entries)).hasOwnerEnded;
    assert.equal(hasEnded([buildNode('former'), owner('s')]), false);
    assert.equal(hasEnded([buildNode('former'), owner('s'), buildNode('s')]), false);
    assert.equal(hasEnded([buildNode('s'), owner('s'), buildNode('next')]), true);
    assert.equal(hasEnded([owner('s'), buildNode('next'), owner('s')]), false);
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

  // Guards against two runs of one task (TWICE): a caller submits a job in two data centres, and an
  // owner and its successor know different ones for it.
  it('knows all data centres of a job, whatever it has read', () => {
    const records = buildRecords([
      [WorkLogKey.job('a', 'dc-1'), { ...JOB, dataCentre: 'dc-1' }],
      [WorkLogKey.job('a', 'dc-2'), { ...JOB, dataCentre: 'dc-2', submittedAtMs: 9 }],
      [WorkLogKey.job('a', 'dc-2'), { ...JOB, dataCentre: 'dc-2', submittedAtMs: 12 }],
    ]);
    const followed = applyAll(records).get('a');
    const restored = readNewest(new WorkLogView(), records).get('a');
    assert.deepEqual(followed?.dataCentres, ['dc-1', 'dc-2']);
    assert.deepEqual(restored?.dataCentres, ['dc-1', 'dc-2']);
    assert.equal(restored.submittedAtMs, 1);
  });

  // Guards against a takeover that trusts the offset of a record which has replaced an earlier one.
  it('does not know when a job was accepted that it read from the newest records', () => {
    const records = buildRecords([[WorkLogKey.job('a', 'dc-1'), JOB]]);
    assert.equal(applyAll(records).get('a')?.acceptedOffset, 0);
    const later = [{ ...records[0]!, offset: 7 }];
    assert.equal(applyAll(later).get('a')?.acceptedOffset, 7);
    assert.equal(readNewest(new WorkLogView(), later).get('a')?.acceptedOffset, 0);
  });

  // Guards against a job that runs again: its removal expired in the store before it was read.
  it('forgets a job that the newest records lack', () => {
    const view = applyAll(buildRecords([[WorkLogKey.job('a', 'dc-1'), JOB]]));
    const [removed] = view.listRemoved([], 5);
    assert.ok(removed !== undefined);
    assert.deepEqual(view.apply(removed), { type: 'removed', id: 'a' });
    assert.equal(view.size, 0);
    assert.equal(view.countWaiting('renders'), 0);
  });

  // Guards against a new owner whose callers are refused because of its predecessor's pools.
  it('takes the load of the pools only from the current owner', () => {
    const load = { token: 1, fullPools: ['studio'], atMs: 1_000, validMs: 2_000 };
    const owner = { token: 1, node: 'n1', session: 's1' };
    const view = applyAll(
      buildRecords([
        ['owner', owner],
        ['pool-load', load],
      ]),
    );
    assert.deepEqual(view.poolLoad, load);
    view.apply({
      offset: 2,
      key: 'owner',
      value: Buffer.from(JSON.stringify({ ...owner, token: 2 })),
    });
    assert.equal(view.poolLoad, undefined);
  });

  // Guards against nodes that decide differently about the same log: one followed it, one began with
  // the newest records, one lost a part of it to the store's retention.
  it('yields the same state to all readers of a log', () => {
    fc.assert(
      fc.property(log, fc.nat(60), fc.nat(60), fc.nat(60), (records, one, other, third) => {
        const [start = 0, expired = 0, resumed = 0] = [one, other, third]
          .map((offset) => Math.min(offset, records.length))
          .sort((left, right) => left - right);
        const followed = describeAll(applyAll(records));
        const restored = readNewest(new WorkLogView(), records);
        assert.deepEqual(describeAll(restored), followed, 'newest records');
        const late = readNewest(new WorkLogView(), records.slice(0, resumed), start);
        followFrom(late, records, start);
        assert.deepEqual(describeAll(late), followed, 'newest records, then the log');
        const gapped = applyAll(records.slice(0, start));
        readNewest(gapped, records.slice(0, resumed), expired);
        followFrom(gapped, records, expired);
        assert.deepEqual(describeAll(gapped), followed, 'a gap in the log');
      }),
      { seed: readSeed(), numRuns: 500 },
    );
  });
});
