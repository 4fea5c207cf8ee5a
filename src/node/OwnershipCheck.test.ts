import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { OwnershipCheck } from './OwnershipCheck.js';

describe('OwnershipCheck', () => {
  // Guards against an owner that acts, after it was suspended, on a permission that has run out.
  it('needs an append that was sent after the gap', () => {
    const clock = new ManualClock();
    const check = new OwnershipCheck(clock);
    clock.advance(400);
    assert.equal(check.recordActivity(), 0);
    const sentBefore = check.gaps;
    clock.advance(3_000);
    assert.equal(check.recordActivity(), 3_000);
    assert.ok(!check.isConfirmed);
    // The response to an append that was sent before the gap says nothing about the time since.
    check.recordAppend(sentBefore);
    assert.ok(!check.isConfirmed);
    check.recordAppend(check.gaps);
    assert.ok(check.isConfirmed);
  });

  it('sees a suspension that the monotonic clock does not count', () => {
    const clock = new ManualClock(1_000);
    const check = new OwnershipCheck(clock);
    clock.setWall(6_000);
    assert.equal(check.recordActivity(), 5_000);
    assert.ok(!check.isConfirmed);
  });

  it('sees a gap although the wall clock was set back meanwhile', () => {
    const clock = new ManualClock(10_000);
    const check = new OwnershipCheck(clock);
    clock.advance(800);
    clock.setWall(2_000);
    assert.equal(check.recordActivity(), 800);
    assert.ok(!check.isConfirmed);
  });
});
