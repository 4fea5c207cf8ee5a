import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import { SystemClock } from '../clock/mod.js';
import { StoreRefusedError, StoreUnansweredError, type AppendResponse } from '../port/mod.js';
import { waitFor } from '../testing/mod.js';
import { WorkLogKey } from '../workLog/mod.js';
import type { NodeContext } from './NodeContext.js';
import { WorkLogWriter, type WriteOutcome } from './WorkLogWriter.js';

type Answer = 'stored' | 'refused' | 'rejected' | 'unanswered';

const RECORD = { key: WorkLogKey.job('a', 'dc-1'), value: '{}' };
const THIRD_RECORD = { ...RECORD, key: WorkLogKey.job('c', 'dc-1') };
const OTHER_RECORD = { ...RECORD, key: WorkLogKey.job('b', 'dc-1') };

/** Runs a writer whose appends are answered in the given order, then stored. */
async function withWriter(
  answers: Answer[],
  use: (writer: WorkLogWriter, appended: string[][]) => Promise<void>,
): Promise<void> {
  const appended: string[][] = [];
  const append = (records: { key: string }[]): Promise<AppendResponse> => {
    appended.push(records.map(({ key }) => key));
    const answer = answers.shift() ?? 'stored';
    if (answer === 'unanswered') return Promise.reject(new StoreUnansweredError('no answer'));
    if (answer === 'rejected') return Promise.resolve({ type: 'rejected', reason: 'status 400' });
    if (answer === 'refused') return Promise.reject(new StoreRefusedError('status 503'));
    return Promise.resolve({ type: 'appended', offset: 0, end: 1 });
  };
  const scope = new ActorScope('test', (_actor, error) => assert.fail(error));
  const context = {
    scope,
    clock: new SystemClock(),
    store: { append },
    log: { record: () => undefined },
  };
  const writer = new WorkLogWriter(context as unknown as NodeContext);
  try {
    await use(writer, appended);
  } finally {
    writer.close();
    scope.close();
  }
}

function write(writer: WorkLogWriter, record = RECORD, timeoutMs = 0): Promise<WriteOutcome> {
  const deadline = performance.now() + timeoutMs;
  return writer.ask<WriteOutcome>((reply) => ({ type: 'write', record, deadline, reply }));
}

function isOpen(writer: WorkLogWriter, { key } = RECORD): Promise<boolean> {
  return writer.ask<boolean>((reply) => ({ type: 'is-open', key, reply }));
}

describe('WorkLogWriter', () => {
  // Guards against callers whose jobs are refused since a record that the store never accepts, of
  // another caller, is in the same append, and against appends that are repeated without an end.
  it('sends the records of a rejected append again one by one, and each of them once', () =>
    withWriter(['stored', 'rejected', 'rejected'], async (writer, appended) => {
      // The first append is in flight while the others are queued, so that they share the next one.
      const outcomes = [OTHER_RECORD, RECORD, THIRD_RECORD].map((one) => write(writer, one, 2_000));
      assert.deepEqual(await Promise.all(outcomes), ['stored', 'not-stored', 'stored']);
      assert.deepEqual(appended, [
        [OTHER_RECORD.key],
        [RECORD.key, THIRD_RECORD.key],
        [RECORD.key],
        [THIRD_RECORD.key],
      ]);
      assert.equal(await isOpen(writer), false);
    }));

  // Guards against a caller that is told that its job never runs while a peer may still store it.
  it('reports no record as not stored while a peer may still store it', () =>
    withWriter(['refused', 'refused', 'refused'], async (writer) => {
      writer.send({ type: 'mark-uncertain', key: RECORD.key });
      assert.equal(await isOpen(writer), true);
      assert.equal(await write(writer), 'unknown');
    }));

  // Guards against the same for a caller whose key has been removed: its organisation, which is part
  // of the key of the record, is not known any more.
  it('finds the open writes of a job by the prefix of their keys', () =>
    withWriter(['unanswered'], async (writer) => {
      const hasOpen = (id: string): Promise<boolean> => {
        const prefix = WorkLogKey.jobPrefix(id);
        return writer.ask<boolean>((reply) => ({ type: 'has-open', prefix, reply }));
      };
      assert.equal(await hasOpen('a'), false);
      const record = { ...RECORD, key: WorkLogKey.job('a', 'dc-1', 'acme') };
      assert.equal(await write(writer, record), 'unknown');
      assert.equal(await hasOpen('a'), true);
      assert.equal(await hasOpen('b'), false);
    }));

  // Guards against a caller that is told that its job never runs while an earlier write of the job,
  // for the same caller, may still be stored.
  it('reports no record as not stored while an earlier append of it may be executed', () =>
    withWriter(['unanswered', 'refused', 'refused', 'refused'], async (writer) => {
      assert.equal(await write(writer), 'unknown');
      assert.equal(await write(writer), 'unknown');
      assert.equal(await write(writer, OTHER_RECORD), 'not-stored');
    }));

  it('ends a write at once while the store does not answer', () =>
    withWriter(['unanswered', 'unanswered', 'unanswered'], async (writer, appended) => {
      const first = write(writer, RECORD, 200);
      await waitFor('an unanswered append', () => appended.length === 2);
      assert.equal(await write(writer, RECORD, 60_000), 'unknown');
      assert.equal(await write(writer, OTHER_RECORD, 60_000), 'not-stored');
      assert.equal(await first, 'stored');
    }));

  // Guards against appending the record of a call whose API key has been revoked while the record
  // waited, and against calling it not stored if it may have been stored before.
  it('appends no record whose permission has ended', () =>
    withWriter(['unanswered', 'refused'], async (writer, appended) => {
      let isAllowed = true;
      const send = (record: typeof RECORD): Promise<WriteOutcome> =>
        writer.ask<WriteOutcome>((reply) => ({
          type: 'write',
          record,
          deadline: performance.now() + 60_000,
          isAllowed: () => isAllowed,
          reply,
        }));
      const first = send(RECORD);
      const queued = send(OTHER_RECORD);
      await waitFor('an unanswered append', () => appended.length === 1);
      isAllowed = false;
      assert.equal(await first, 'unknown');
      assert.equal(await queued, 'not-stored');
      assert.equal(await send(OTHER_RECORD), 'not-stored');
      assert.deepEqual(appended, [[RECORD.key]]);
    }));

  // Guards against callers without an outcome whose records were sent with a repeated append.
  it('repeats an unanswered append without the records that were never sent', () =>
    withWriter(['unanswered', 'unanswered'], async (writer, appended) => {
      const first = write(writer, RECORD, 60_000);
      const second = write(writer, OTHER_RECORD, 60_000);
      assert.equal(await second, 'not-stored');
      assert.equal(await first, 'stored');
      assert.deepEqual(appended, Array(3).fill([RECORD.key]));
    }));

  // Guards against a caller that is told that there is no such job before its write has ended.
  it('counts a record as open until it is stored', () =>
    withWriter(['unanswered'], async (writer) => {
      assert.equal(await isOpen(writer), false);
      assert.equal(await write(writer), 'unknown');
      assert.equal(await isOpen(writer), true);
      assert.equal(await write(writer), 'stored');
      assert.equal(await isOpen(writer), false);
    }));
});
