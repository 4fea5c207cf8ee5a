import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computeSilenceLimit } from './computeSilenceLimit.js';

describe('computeSilenceLimit', () => {
  // Guards against 25 changes of the owner in one day: each owner was too slow for a fixed limit.
  it('gives a slow owner more time, within a bound', () => {
    assert.equal(computeSilenceLimit(1_000, 0), 1_000);
    assert.equal(computeSilenceLimit(1_000, 250), 1_000);
    assert.equal(computeSilenceLimit(1_000, 800), 2_400);
    assert.equal(computeSilenceLimit(1_000, 50_000), 2_500);
  });
});
