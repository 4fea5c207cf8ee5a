import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { ActorScope } from '../actor/mod.js';
import { ManualClock } from '../clock/mod.js';
import type { AppendResponse } from '../port/mod.js';
import { waitFor } from '../testing/mod.js';
import { WorkLogKey } from '../workLog/mod.js';
import type { NodeContext } from './NodeContext.js';
import { WorkLogWriter, type WriteOutcome } from './WorkLogWriter.js';

const SLOW_MS = 650;

/** A writer whose clock is moved and whose appends are answered by the test. */
class ManualWriter {
  readonly #clock = new ManualClock();

  readonly #scope = new ActorScope('test', (_actor, error) => assert.fail(error));

  readonly #appends: ((answer: AppendResponse) => void)[] = [];

  /** Identifiers of the records of each append. */
  readonly appended: (string | undefined)[][] = [];

  readonly #writer: WorkLogWriter;

  constructor() {
    const append = (records: { key: string }[]): Promise<AppendResponse> => {
      this.appended.push(records.map(({ key }) => key.split('/')[1]));
      return new Promise((resolve) => {
        this.#appends.push(resolve);
      });
    };
    const log = { record: () => undefined };
    const context = { scope: this.#scope, clock: this.#clock, store: { append }, log };
    this.#writer = new WorkLogWriter(context as unknown as NodeContext);
  }

  write(id: string, timeoutMs: number): Promise<WriteOutcome> {
    const record = { key: WorkLogKey.job(id, 'dc-1'), value: '{}' };
    const deadline = this.#clock.readMonotonic() + timeoutMs;
    return this.#writer.ask<WriteOutcome>((reply) => ({ type: 'write', record, deadline, reply }));
  }

  /** Moves the clock after the messages that were sent before have been handled. */
  async advance(byMs: number): Promise<void> {
    await this.#settle();
    this.#clock.advance(byMs);
  }

  recordRead(isAnswered: boolean): void {
    this.#writer.send({ type: 'read', isAnswered });
  }

  /** Answers the append in flight after a time in ms. */
  async answerAppend(afterMs = 0): Promise<void> {
    const append = await waitFor('an append', () => this.#appends.shift());
    await this.advance(afterMs);
    append({ type: 'appended', offset: 0, end: 1 });
    await new Promise(setImmediate);
    await this.#settle();
  }

  async #settle(): Promise<void> {
    await this.#writer.ask<boolean>((reply) => ({ type: 'can-write', reply }));
  }

  close(): void {
    this.#writer.close();
    this.#scope.close();
  }
}

async function withWriter(use: (writer: ManualWriter) => Promise<void>): Promise<void> {
  const writer = new ManualWriter();
  try {
    await use(writer);
  } finally {
    writer.close();
  }
}

describe('WorkLogWriter with a repeated identifier', () => {
  // Guards against a caller that is told that its job never runs while the first write of the job is
  // in flight: the repeated write could not be stored in time, and the first one was stored.
  it('does not report a repeated write as not stored while the first one is in flight', () =>
    withWriter(async (writer) => {
      writer.write('0', 3_000);
      await writer.answerAppend(SLOW_MS);
      const first = writer.write('1', 3_000);
      await writer.advance(30);
      writer.write('2', 3_000);
      const repeated = writer.write('1', 1_200);
      await writer.answerAppend(SLOW_MS - 30);
      assert.equal(await first, 'stored');
      assert.notEqual(await repeated, 'not-stored');
    }));

  it('does not report a repeated write as not stored after a failed read', () =>
    withWriter(async (writer) => {
      const first = writer.write('1', 3_000);
      // The time limit of the append has passed, so that the failed read opens the breaker.
      await writer.advance(800);
      writer.recordRead(false);
      const repeated = writer.write('1', 3_000);
      await writer.answerAppend();
      assert.equal(await first, 'stored');
      assert.notEqual(await repeated, 'not-stored');
    }));

  // Guards against the same false refusal if the first write ends before the repeated one.
  it('does not report a write as not stored while a repeated one is queued', () =>
    withWriter(async (writer) => {
      writer.write('0', 3_000);
      const first = writer.write('1', 100);
      const repeated = writer.write('1', 3_000);
      await writer.answerAppend(SLOW_MS);
      assert.equal(await first, 'unknown');
      await writer.answerAppend();
      assert.equal(await repeated, 'stored');
    }));
});

describe('WorkLogWriter with a slow store', () => {
  // Guards against refusals after a single slow append, although the next one may be fast.
  it('sends the whole next batch after a slow append', () =>
    withWriter(async (writer) => {
      writer.write('0', 3_000);
      const queued = ['1', '2', '3'].map((id) => writer.write(id, 1_000));
      await writer.answerAppend(SLOW_MS);
      await writer.answerAppend();
      assert.deepEqual(await Promise.all(queued), Array(3).fill('stored'));
      assert.deepEqual(writer.appended, [['0'], ['1', '2', '3']]);
    }));

  // Guards against callers that are held beyond their deadline by the append of other records.
  it('refuses a record that was never sent at its deadline while an append is in flight', () =>
    withWriter(async (writer) => {
      writer.write('0', 3_000);
      const queued = writer.write('1', 30);
      await writer.advance(31);
      assert.equal(await Promise.race([queued, pause(1_000, 'waiting')]), 'not-stored');
    }));
});
