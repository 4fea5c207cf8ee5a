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
    orders.add('m-2', 10_500);
    orders.settle('m-2', 11_000);
    assert.deepEqual(orders.list(11_000), [
      { machine: 'm-1', ageMs: 1_500 },
      { machine: 'm-2', ageMs: 0 },
    ]);
    assert.deepEqual(orders.list(13_999), [{ machine: 'm-2', ageMs: 2_999 }]);
    assert.deepEqual(orders.list(14_000), []);
  });

  // Guards against an order that is sent after it was recorded: it waited for others, or for a
  // connection, and the next owner counted the pause from the record (ONE).
  it('lets a later owner wait from its takeover for orders without an outcome', () => {
    orders.add('m-3', 15_000);
    assert.deepEqual(orders.list(17_900), [{ machine: 'm-3', ageMs: 0, isOpen: true }]);
    assert.deepEqual(orders.list(19_000), [{ machine: 'm-3', ageMs: 0, isOpen: true }]);
    const later = new RecentMachineOrders({
      leaseMs: 3_000,
      inherited: [{ machine: 'm-3', ageMs: 900, isOpen: true }],
      startedAt: 20_000,
    });
    assert.equal(later.canOrder('m-3', 22_999), false);
    assert.equal(later.canOrder('m-3', 23_000), true);
    orders.settle('m-3', 19_500);
    assert.deepEqual(orders.list(20_000), [{ machine: 'm-3', ageMs: 500 }]);
  });

  it('computes the age of an order from its last outcome', () => {
    orders.add('m-4', 22_000);
    orders.settle('m-4', 22_500);
    orders.add('m-4', 23_000);
    orders.settle('m-4', 24_000);
    assert.deepEqual(orders.list(26_000), [{ machine: 'm-4', ageMs: 2_000 }]);
  });
});
