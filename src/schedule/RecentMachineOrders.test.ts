import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RecentMachineOrders } from './RecentMachineOrders.js';

/** Guards against orders of two owners for one machine within the required pause. */
describe('RecentMachineOrders', () => {
  const orders = new RecentMachineOrders({
    leaseMs: 3_000,
    inherited: [{ machine: 'm-1', ageMs: 500 }],
    startedAt: 10_000,
  });

  it('blocks only the machines of the previous owner, for the rest of the pause', () => {
    assert.equal(orders.canOrder('m-1', 12_499), false);
    assert.equal(orders.canOrder('m-1', 12_500), true);
    assert.equal(orders.canOrder('m-2', 10_000), true);
  });

  it('lists its own orders and those of the previous owner until the pause has passed', () => {
    orders.report('m-2', 11_000);
    assert.deepEqual(orders.list(11_000), [
      { machine: 'm-1', ageMs: 1_500 },
      { machine: 'm-2', ageMs: 0 },
    ]);
    assert.deepEqual(orders.list(13_999), [{ machine: 'm-2', ageMs: 2_999 }]);
    assert.deepEqual(orders.list(14_000), []);
  });

  it('computes the age of an order from its last report', () => {
    orders.report('m-4', 22_000);
    orders.report('m-4', 24_000);
    assert.deepEqual(orders.list(26_000), [{ machine: 'm-4', ageMs: 2_000 }]);
  });
});
