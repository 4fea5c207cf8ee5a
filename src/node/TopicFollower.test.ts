/* eslint-disable max-classes-per-file -- a store test double and the follower that reads it. */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import { ManualClock } from '../clock/mod.js';
import type { NewestPage, ReadResponse, StoreRecord } from '../port/mod.js';
import { waitFor } from '../testing/mod.js';
import type { NodeContext } from './NodeContext.js';
import { TopicFollower, type FollowerState } from './TopicFollower.js';

function buildRecord(offset: number): StoreRecord {
  return { offset, key: `key-${offset}`, value: Buffer.from('{}') };
}

/** A store whose reads are answered one at a time by the test. */
class ScriptedStore {
  readonly #reads: ((answer: ReadResponse) => void)[] = [];

  readonly #pages: { resolve: (page: NewestPage) => void; reject: (error: Error) => void }[] = [];

  /** Keys after which the pages were requested. */
  readonly requestedAfter: (string | undefined)[] = [];

  readNewest(_topic: string, after?: string): Promise<NewestPage> {
    this.requestedAfter.push(after);
    return new Promise((resolve, reject) => {
      this.#pages.push({ resolve, reject });
    });
  }

  get hasRead(): boolean {
    return this.#reads.length > 0;
  }

  async failPage(): Promise<void> {
    const page = await waitFor('a read of the newest records', () => this.#pages.shift());
    page.reject(new Error('no answer'));
  }

  read(): Promise<ReadResponse> {
    return new Promise((resolve) => {
      this.#reads.push(resolve);
    });
  }

  async answerPage(page: NewestPage): Promise<void> {
    const read = await waitFor('a read of the newest records', () => this.#pages.shift());
    read.resolve(page);
  }

  async answerRead(answer: ReadResponse): Promise<void> {
    (await waitFor('a read', () => this.#reads.shift()))(answer);
  }
}

class CountingFollower extends TopicFollower<never> {
  applied = 0;

  lastState: FollowerState | undefined;

  protected override applyRecords(records: readonly StoreRecord[]): void {
    this.applied += records.length;
    this.lastState = this.state;
  }

  protected override handle(): void {
    throw new Error(`${this.name} has no additional messages`);
  }
}

/** A follower that cannot apply some records, each on its own or with all others of its read. */
class FailingFollower extends TopicFollower<never> {
  readonly applied: string[] = [];

  protected override applyRecords(records: readonly StoreRecord[]): void {
    this.applyEach(records, ({ key }) => {
      if (key === 'key-1') throw new RangeError('odd record');
      this.applied.push(key);
    });
    if (records.some(({ key }) => key === 'key-3')) throw new RangeError('odd read');
  }

  protected override handle(): void {
    throw new Error(`${this.name} has no additional messages`);
  }
}

function openFollower(): { clock: ManualClock; store: ScriptedStore; follower: CountingFollower } {
  const clock = new ManualClock();
  const store = new ScriptedStore();
  const scope = new ActorScope('follower', (_, error) => assert.fail(error));
  const context = { scope, clock, store, log: { record: () => undefined } };
  const follower = new CountingFollower(context as unknown as NodeContext, 'work', 0);
  return { clock, store, follower };
}

describe('TopicFollower', () => {
  // Guards against reporting accepted jobs as unknown after a partition: the node is thousands of
  // records behind, and each read returns only a part of them.
  it('updates freshAt only when a read reaches the end of the log', async () => {
    const { clock, store, follower } = openFollower();
    await store.answerPage({ records: [buildRecord(0)], next: undefined, end: 1 });
    await waitFor('the page', () => follower.applied === 1);
    clock.advance(100);
    await store.answerRead({ type: 'records', end: 2, records: [buildRecord(1)] });
    await waitFor('the second record', () => follower.applied === 2);
    const { freshAt } = follower.lastState ?? assert.fail('no state');
    clock.advance(5_000);
    await store.answerRead({ type: 'records', end: 9, records: [buildRecord(2)] });
    await waitFor('the first record of the gap', () => follower.applied === 3);
    clock.advance(10);
    await store.answerRead({ type: 'records', end: 9, records: [buildRecord(3)] });
    await waitFor('the next record of the gap', () => follower.applied === 4);
    assert.equal(follower.lastState?.isInContact, true);
    assert.ok((follower.lastState?.freshAt ?? 0) <= freshAt + 5_000);
    await store.answerRead({ type: 'records', end: 5, records: [buildRecord(4)] });
    await waitFor('the end of the log', () => follower.applied === 5);
    assert.ok((follower.lastState?.freshAt ?? 0) > freshAt + 5_000);
    follower.close();
  });

  // Guards against a state that counts as current although records were appended while its many
  // pages were read.
  it('sets freshAt no later than the request of the first page', async () => {
    const { clock, store, follower } = openFollower();
    const before = clock.readMonotonic();
    await waitFor('the request of the first page', () => follower.applied === 0);
    const answered = store.answerPage({ records: [buildRecord(0)], next: 'key-0', end: 1 });
    await answered;
    clock.advance(3_000);
    await store.answerPage({ records: [buildRecord(4)], next: undefined, end: 5 });
    await waitFor('the pages', () => follower.applied === 2);
    assert.ok((follower.lastState?.freshAt ?? Infinity) <= before);
    follower.close();
  });

  // Guards against serving a revoked key too long: the response to an empty long poll may have been
  // delayed, and a record of the first page may have been replaced while the others were read.
  it('proves its state only for the time at which the read or the first page was sent', async () => {
    const { clock, store, follower } = openFollower();
    const firstSentAt = clock.read();
    await store.answerPage({ records: [buildRecord(0)], next: 'key-0', end: 1 });
    clock.advance(400);
    await store.answerPage({ records: [], next: undefined, end: 1 });
    await waitFor('the snapshot', () => follower.lastState?.provenAt);
    assert.deepEqual(follower.lastState?.provenAt, firstSentAt);
    const readSentAt = clock.read();
    await waitFor('a read', () => store.hasRead);
    clock.advance(900);
    clock.setWall(9_000);
    await store.answerRead({ type: 'records', end: 1, records: [] });
    await waitFor('the proof', () => follower.lastState?.provenAt?.monotonicMs === 400);
    assert.deepEqual(follower.lastState?.provenAt, readSentAt);
    assert.ok(follower.lastState.freshAt > readSentAt.monotonicMs);
    await waitFor('a read', () => store.hasRead);
    await store.answerRead({ type: 'records', end: 9, records: [buildRecord(1)] });
    await waitFor('the first record of the gap', () => follower.applied === 2);
    assert.deepEqual(follower.lastState.provenAt, readSentAt);
    follower.close();
  });

  // Guards against nodes that never get ready when all start at once: some reads of pages fail, and
  // each failure made them start over with the first page.
  it('goes on with the page whose read failed', async () => {
    const { store, follower } = openFollower();
    await store.answerPage({ records: [buildRecord(0)], next: 'key-0', end: 2 });
    await store.failPage();
    await store.answerPage({ records: [buildRecord(1)], next: undefined, end: 3 });
    await waitFor('both pages', () => follower.applied === 2);
    assert.deepEqual(store.requestedAfter, [undefined, 'key-0', 'key-0']);
    assert.equal(follower.lastState?.end, 2);
    follower.close();
  });

  // Guards against followers that stop for ever, without a log line, after one odd record.
  it('skips a record that it cannot apply and reads on after any error', async () => {
    const store = new ScriptedStore();
    const faults: string[] = [];
    const scope = new ActorScope('follower', (_, error) => faults.push(error.message));
    const skipped: string[] = [];
    const log = { record: (kind: string, key: string) => skipped.push(`${kind} ${key}`) };
    const context = { scope, clock: new ManualClock(), store, log };
    const follower = new FailingFollower(context as unknown as NodeContext, 'work', 0);
    await store.answerPage({ records: [buildRecord(0)], next: undefined, end: 1 });
    const records = [buildRecord(1), buildRecord(2)];
    await store.answerRead({ type: 'records', end: 3, records });
    await store.answerRead({ type: 'records', end: 4, records: [buildRecord(3)] });
    await store.answerRead({ type: 'records', end: 5, records: [buildRecord(4)] });
    await waitFor('the last record', () => follower.applied.includes('key-4'));
    assert.deepEqual(follower.applied, ['key-0', 'key-2', 'key-3', 'key-4']);
    assert.ok(skipped.includes('record-skipped key-1'));
    assert.deepEqual(faults, ['odd read']);
    follower.close();
  });

  // Guards against a breaker of the writer that stays open until the last page of a snapshot.
  it('reports its contact with each page and when records have expired', async () => {
    const { store, follower } = openFollower();
    await store.failPage();
    await waitFor('the failure', () => follower.lastState?.isInContact === false);
    await store.answerPage({ records: [buildRecord(0)], next: 'key-0', end: 2 });
    await waitFor('the contact', () => follower.lastState?.isInContact === true);
    assert.equal(follower.applied, 0);
    await store.answerPage({ records: [buildRecord(1)], next: undefined, end: 2 });
    await store.answerRead({ type: 'records', end: 2, records: [] });
    await waitFor('the end of the log', () => follower.lastState?.isCurrent === true);
    await store.answerRead({ type: 'expired', first: 9 });
    // The view is read again, so nothing may be decided by the old one.
    await waitFor('the expiry', () => follower.lastState?.isCurrent === false);
    assert.equal(follower.applied, 2);
    follower.close();
  });
});
