import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AppendLatency } from './AppendLatency.js';

/** Processes one append after the other, also those whose writers have given up. */
class SlowPartition {
  #freeAt = 0;

  processed = 0;

  constructor(readonly appendMs: number) {}

  /** Returns when an append that arrives at `at` is answered. */
  append(at: number): number {
    this.#freeAt = Math.max(this.#freeAt, at) + this.appendMs;
    this.processed += 1;
    return this.#freeAt;
  }
}

describe('AppendLatency', () => {
  it('follows the latency of the store within its bounds', () => {
    const latency = new AppendLatency();
    assert.equal(latency.timeoutMs, 700);
    latency.recordAnswer(10);
    assert.equal(latency.timeoutMs, 700);
    latency.recordAnswer(400);
    assert.equal(latency.timeoutMs, 1_200);
    latency.recordAnswer(5_000);
    assert.equal(latency.timeoutMs, 2_500);
    for (let index = 0; index < 30; index += 1) latency.recordAnswer(10);
    assert.equal(latency.timeoutMs, 700);
  });

  // Guards against the collapse on days with a slow store: eight writers, each with one append at a
  // time, whose appends take 100 ms each at the store. With a fixed timeout nearly none is answered
  // in time, and all are processed again and again.
  it('lets eight writers append to a store that takes 100 ms for an append', () => {
    const partition = new SlowPartition(100);
    const writers = Array.from({ length: 8 }, () => ({ latency: new AppendLatency(), nextAt: 0 }));
    let answered = 0;
    while (writers.some(({ nextAt }) => nextAt < 10_000)) {
      const [writer] = writers.sort((one, other) => one.nextAt - other.nextAt);
      assert.ok(writer !== undefined);
      const { latency, nextAt } = writer;
      const takesMs = partition.append(nextAt) - nextAt;
      if (takesMs <= latency.timeoutMs) {
        latency.recordAnswer(takesMs);
        answered += 1;
        writer.nextAt += takesMs;
      } else {
        writer.nextAt += latency.timeoutMs;
        latency.recordTimeout();
      }
    }
    assert.ok(answered > 0.8 * partition.processed, `${answered} of ${partition.processed}`);
  });
});
