import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PoolLoadPublisher } from './PoolLoadPublisher.js';

describe('PoolLoadPublisher', () => {
  // Guards against a record with every append of an owner whose pools are full for a moment each.
  it('records at most twice a second', () => {
    const publisher = new PoolLoadPublisher(3);
    let count = 0;
    for (let now = 0; now < 10_000; now += 10) {
      const fullPools = now % 20 === 0 ? ['studio'] : [];
      if (publisher.take(fullPools, { now, nowWallMs: now }) !== undefined) count += 1;
    }
    assert.ok(count > 0 && count <= 20, `${count} records`);
  });

  // Guards against jobs that are accepted beyond the rate since the record has expired meanwhile.
  it('renews a record that names full pools before it expires, and no other', () => {
    const publisher = new PoolLoadPublisher(3);
    const first = publisher.take(['studio'], { now: 0, nowWallMs: 50 });
    assert.deepEqual(first, { token: 3, fullPools: ['studio'], atMs: 50, validMs: 2_000 });
    assert.equal(publisher.take(['studio'], { now: 1_000, nowWallMs: 1_050 }), undefined);
    assert.ok(publisher.take(['studio'], { now: 1_400, nowWallMs: 1_450 }));
    assert.deepEqual(publisher.take([], { now: 2_000, nowWallMs: 2_050 })?.fullPools, []);
    assert.equal(publisher.take([], { now: 9_000, nowWallMs: 9_050 }), undefined);
  });
});
