import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { readSeed } from '../testing/mod.js';
import { AppendQueue, type AppendGroup, type SentItem } from './AppendQueue.js';

type Fate = 'done' | 'lost' | 'failed' | 'late';

/** A writer's queue with a log whose fold ignores the sequences that it has passed. */
class Model {
  readonly effects: number[] = [];

  #sequence = 0;

  #late: SentItem<number>[][] = [];

  readonly queue = new AppendQueue<number>();

  readonly confirmed: number[] = [];

  readonly withdrawn: number[] = [];

  #groups: AppendGroup<number>[] = [];

  #count = 0;

  /** Values that were queued and never withdrawn. */
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

  append(fate: Fate): void {
    const batch = this.queue.take();
    if (batch.length === 0) return;
    if (fate === 'late') this.#late.push(batch);
    else if (fate !== 'failed') this.#take(batch);
    if (fate === 'done') this.finish(this.queue.confirm());
    else this.queue.fail();
  }

  fold(): void {
    this.finish(this.queue.fold(this.#sequence));
  }

  finishLate(): void {
    this.#late.forEach((batch) => this.#take(batch));
    this.#late = [];
  }

  finish(items: SentItem<number>[]): void {
    this.confirmed.push(...items.map(({ item }) => item.value));
  }

  #take(batch: SentItem<number>[]): void {
    batch.forEach(({ sequence, item }) => {
      if (sequence <= this.#sequence) return;
      this.#sequence = sequence;
      this.effects.push(item.value);
    });
  }
}

const step = fc.oneof(
  fc.record({ do: fc.constant('put' as const), size: fc.integer({ min: 1, max: 12 }) }),
  fc.record({
    do: fc.constant('append' as const),
    fate: fc.constantFrom<Fate>('done', 'lost', 'failed', 'late'),
  }),
  fc.record({ do: fc.constantFrom('withdraw' as const, 'fold' as const, 'arrive' as const) }),
);

describe('AppendQueue', () => {
  it('gives each confirmed value effect exactly once, in any order of lost and late answers', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const model = new Model();
        steps.forEach((one) => {
          if (one.do === 'put') model.put(one.size);
          else if (one.do === 'append') model.append(one.fate);
          else if (one.do === 'withdraw') model.withdraw();
          else if (one.do === 'fold') model.fold();
          else model.finishLate();
        });
        model.finishLate();
        // Once the log is well again, whatever was not withdrawn is confirmed.
        while (model.queue.hasOutstanding || model.queue.hasWaiting) model.append('done');
        model.pending.forEach((value) =>
          assert.ok(model.confirmed.includes(value), `kept ${value}`),
        );
        const { effects } = model;
        assert.equal(new Set(effects).size, effects.length, 'an effect was repeated');
        assert.deepEqual(
          [...effects].sort((a, b) => a - b),
          effects,
          'effects out of order',
        );
        model.confirmed.forEach((value) => assert.ok(effects.includes(value), `lost ${value}`));
        model.withdrawn.forEach((value) => assert.ok(!effects.includes(value), `ran ${value}`));
      }),
      { seed: readSeed(), numRuns: 500 },
    );
  });

  it('refuses what the platform would refuse, and more than the queue holds, with a reason', () => {
    const queue = new AppendQueue<number>();
    assert.match(queue.put({ items: [{ value: 1, bytes: 70_000 }] }) ?? '', /65536/);
    const items = Array.from({ length: 500 }, (_, value) => ({ value, bytes: 30_000 }));
    assert.equal(queue.put({ items }), undefined);
    assert.match(queue.put({ items }) ?? '', /queue is full/);
  });

  it('replaces an out-of-date proposal and holds a new one back until the sent one is folded', () => {
    const queue = new AppendQueue<string>();
    const propose = (value: string): boolean =>
      queue.replace({ proposer: 'planner', items: [{ value, bytes: 10 }] });
    propose('old');
    assert.equal(propose('new'), true);
    assert.deepEqual(
      queue.take().map(({ item }) => item.value),
      ['new'],
    );
    queue.confirm();
    assert.equal(propose('repeated'), false);
    queue.fold(1);
    assert.equal(propose('next'), true);
  });
});
