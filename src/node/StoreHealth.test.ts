import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { StoreHealth } from './StoreHealth.js';

const RESET = { waitedMs: 3, timeoutMs: 700 };
/** Upper bound in ms of the delay after the first failed append. */
const FIRST_DELAY_MS = 60;

describe('StoreHealth', () => {
  // Guards against callers without an outcome: their records were sent during a known outage.
  it('sends no new record after a reset, and one as a probe after a delay', () => {
    const health = new StoreHealth();
    assert.equal(health.canSend(0), true);
    health.recordFailure(RESET, 0);
    assert.equal(health.canSend(1), false);
    assert.equal(health.canSend(FIRST_DELAY_MS), true);
    health.recordSent();
    assert.equal(health.canSend(FIRST_DELAY_MS), false);
    health.recordAnswer(FIRST_DELAY_MS + 1);
    assert.equal(health.canSend(FIRST_DELAY_MS + 1), true);
  });

  it('sends no probe while reads fail, and one as soon as they succeed', () => {
    const health = new StoreHealth();
    health.recordFailure(RESET, 0);
    health.recordRead(false, 1);
    assert.equal(health.canSend(5_000), false);
    for (let at = 100; at < 2_000; at += 100) health.recordFailure(RESET, at);
    health.recordRead(true, 2_000);
    assert.equal(health.canSend(2_000), true);
    assert.equal(health.state, 'open');
  });

  // Guards against a breaker that opens on every day with a slow store, whose first appends exceed
  // the time limit that was derived from its usual speed.
  it('stays closed while a slow store exceeds the time limit', () => {
    const health = new StoreHealth();
    // A timer may fire a little early.
    health.recordFailure({ waitedMs: 699.4, timeoutMs: 700 }, 700);
    health.recordFailure({ waitedMs: 1_400, timeoutMs: 1_400 }, 2_200);
    assert.equal(health.state, 'closed');
    health.recordFailure({ waitedMs: 2_500, timeoutMs: 2_500 }, 5_000);
    assert.equal(health.state, 'open');
  });

  it('counts calls that were refused or not sent as answered', () => {
    const health = new StoreHealth();
    health.recordUnsent(0);
    health.recordRefusal(100);
    assert.equal(health.state, 'closed');
    assert.ok(health.retryAt > 100);
  });

  it('opens when an append exceeds its time limit while reads fail', () => {
    const health = new StoreHealth();
    health.recordAnswer(0);
    health.recordRead(false, 100);
    assert.equal(health.state, 'closed');
    health.recordFailure({ waitedMs: 700, timeoutMs: 700 }, 800);
    assert.equal(health.state, 'open');
  });

  it('opens while reads fail and no append is answered, and closes with the next read', () => {
    const health = new StoreHealth();
    health.recordRead(false, 1_000);
    assert.equal(health.state, 'open');
    health.recordRead(true, 1_150);
    assert.equal(health.state, 'closed');
  });

  // Guards against an overload of the store by repeated appends: 44 nodes repeated theirs every 60 ms.
  it('repeats appends promptly at first and with growing delays of at most 0.45 s', () => {
    const health = new StoreHealth(() => 0.5);
    const delays = Array.from({ length: 10 }, (_, index) => {
      health.recordFailure(RESET, index * 1_000);
      return health.retryAt - index * 1_000;
    });
    assert.ok((delays[0] ?? Infinity) <= FIRST_DELAY_MS);
    assert.ok(delays.every((delay, index) => delay >= (delays[index - 1] ?? 0) && delay <= 450));
    assert.ok((delays.at(-1) ?? 0) > 300);
  });

  // Guards against refusals because of one failed read while a slow store answers the appends.
  it('stays closed after a failed read while an append is within its time limit', () => {
    const health = new StoreHealth();
    health.recordAnswer(0);
    health.recordSent(1_000);
    health.recordRead(false, 900);
    assert.equal(health.state, 'closed');
    health.recordRead(false, 1_001);
    assert.equal(health.state, 'open');
  });

  it('counts the last answered append for twice the expected latency', () => {
    const health = new StoreHealth();
    health.recordAnswer(0);
    health.recordRead(false, 479, 240);
    assert.equal(health.state, 'closed');
    health.recordRead(false, 481, 240);
    assert.equal(health.state, 'open');
  });

  it('does not count an append that has ended as within its time limit', () => {
    const health = new StoreHealth();
    health.recordSent(1_000);
    health.recordUnsent(100);
    health.recordRead(false, 300);
    assert.equal(health.state, 'open');
  });
});
