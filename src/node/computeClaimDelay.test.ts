import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computeClaimDelay } from './computeClaimDelay.js';

describe('computeClaimDelay', () => {
  // Guards against a shard of hundreds of hosts that a machine with a third of a core claims first.
  it('lets faster nodes claim before slower ones', () => {
    assert.equal(computeClaimDelay(1.35, [0.324, 0.675]), 0);
    const middle = computeClaimDelay(0.675, [1.35, 0.324]);
    const slow = computeClaimDelay(0.324, [1.35, 0.675]);
    assert.ok(middle > 0 && slow > middle && slow < 400);
  });

  it('delays no node of a deployment of equal machines', () => {
    assert.equal(computeClaimDelay(0.675, [0.675, 0.675]), 0);
    assert.equal(computeClaimDelay(0.675, []), 0);
  });
});
