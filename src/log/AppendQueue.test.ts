import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { AppendQueue, type AppendGroup, type SentItem } from './AppendQueue.js';

type AppendMode = 'done' | 'lost' | 'failed' | 'late';

/** An append queue and a log whose readers ignore sequence numbers that were already applied. */
class QueueModel {
  /** Values in the order in which they were applied. */
  readonly appliedValues: number[] = [];

  #appliedSequence = 0;

  #lateBatches: SentItem<number>[][] = [];

  readonly queue = new AppendQueue<number>();

  readonly confirmed: number[] = [];

  readonly withdrawn: number[] = [];

  #groups: AppendGroup<number>[] = [];

  #count = 0;

  /** Values that were queued and not withdrawn. */
  get pending(): number[] {
    return this.#groups.flatMap((group) => group.items.map((item) => item.value));
  }

  put(size: number): void {
    const items = Array.from({ length: size }, () => {
      this.#count += 1;
      return { value: this.#count, bytes: 30_000 };
    });
    const group = { items };
    if (this.queue.put(group) === undefined) this.#groups.push(group);
  }

  withdraw(): void {
    const group = this.#groups.shift();
    if (group === undefined || this.queue.withdraw(group) === 'unknown') return;
    this.withdrawn.push(...group.items.map((item) => item.value));
  }

  append(mode: AppendMode): void {
    const batch = this.queue.takeBatch();
    if (batch.length === 0) return;
    if (mode === 'late') this.#lateBatches.push(batch);
    else if (mode !== 'failed') this.#applyBatch(batch);
    if (mode === 'done') this.recordConfirmed(this.queue.confirmBatch());
    else this.queue.markInDoubt();
  }

  applyLog(): void {
    this.recordConfirmed(this.queue.markApplied(this.#appliedSequence));
  }

  applyLate(): void {
    this.#lateBatches.forEach((batch) => this.#applyBatch(batch));
    this.#lateBatches = [];
  }

  recordConfirmed(items: SentItem<number>[]): void {
    this.confirmed.push(...items.map(({ item }) => item.value));
  }

  #applyBatch(batch: SentItem<number>[]): void {
    batch.forEach(({ sequence, item }) => {
      if (sequence <= this.#appliedSequence) return;
      this.#appliedSequence = sequence;
      this.appliedValues.push(item.value);
    });
  }
}

const step = fc.oneof(
  fc.record({ do: fc.constant('put' as const), size: fc.integer({ min: 1, max: 12 }) }),
  fc.record({
    do: fc.constant('append' as const),
    mode: fc.constantFrom<AppendMode>('done', 'lost', 'failed', 'late'),
  }),
  fc.record({ do: fc.constantFrom('withdraw' as const, 'apply' as const, 'apply-late' as const) }),
);

describe('AppendQueue', () => {
  it('applies confirmed values exactly once when answers are lost or appends are late', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const model = new QueueModel();
        steps.forEach((action) => {
          if (action.do === 'put') model.put(action.size);
          else if (action.do === 'append') model.append(action.mode);
          else if (action.do === 'withdraw') model.withdraw();
          else if (action.do === 'apply') model.applyLog();
          else model.applyLate();
        });
        model.applyLate();
        // Once appends succeed again, every value that was not withdrawn is confirmed.
        while (model.queue.hasOutstanding || model.queue.hasWaiting) model.append('done');
        model.pending.forEach((value) =>
          assert.ok(model.confirmed.includes(value), `value ${value} was not confirmed`),
        );
        const { appliedValues } = model;
        assert.equal(
          new Set(appliedValues).size,
          appliedValues.length,
          'a value was applied twice',
        );
        assert.deepEqual(
          [...appliedValues].sort((a, b) => a - b),
          appliedValues,
          'values were applied out of order',
        );
        model.confirmed.forEach((value) =>
          assert.ok(appliedValues.includes(value), `confirmed value ${value} was not applied`),
        );
        model.withdrawn.forEach((value) =>
          assert.ok(!appliedValues.includes(value), `withdrawn value ${value} was applied`),
        );
      }),
      { seed: readSeed(), numRuns: 500 },
    );
  });

  it('rejects records and groups that are too large, with a reason', () => {
    const queue = new AppendQueue<number>();
    assert.match(queue.put({ items: [{ value: 1, bytes: 70_000 }] }) ?? '', /65536/);
    const items = Array.from({ length: 500 }, (_, value) => ({ value, bytes: 30_000 }));
    assert.equal(queue.put({ items }), undefined);
    assert.match(queue.put({ items }) ?? '', /queue is full/);
  });

  it('replaces an unsent proposal and rejects a new one until the sent one is applied', () => {
    const queue = new AppendQueue<string>();
    const propose = (value: string): boolean =>
      queue.replace({ proposer: 'planner', items: [{ value, bytes: 10 }] });
    propose('old');
    assert.equal(propose('new'), true);
    assert.deepEqual(
      queue.takeBatch().map(({ item }) => item.value),
      ['new'],
    );
    queue.confirmBatch();
    assert.equal(propose('repeated'), false);
    queue.markApplied(1);
    assert.equal(propose('next'), true);
  });
});
