import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RecentMachineOrders } from './RecentMachineOrders.js';

/** Guards against two owners that give orders about one machine within the pause between holders. */
describe('RecentMachineOrders', () => {
  const orders = new RecentMachineOrders({
    leaseMs: 3_000,
    inherited: [{ machine: 'm-1', ageMs: 500 }],
    startedAt: 10_000,
  });

  it('keeps from the machines of the owner before for the rest of the pause, and from no others', () => {
    assert.equal(orders.canOrder('m-1', 12_499), false);
    assert.equal(orders.canOrder('m-1', 12_500), true);
    assert.equal(orders.canOrder('m-2', 10_000), true);
  });

  it('hands on its own orders and those of the owner before while they matter', () => {
    orders.report('m-2', 11_000);
    assert.deepEqual(orders.list(11_000), [
      { machine: 'm-1', ageMs: 1_500 },
      { machine: 'm-2', ageMs: 0 },
    ]);
    assert.deepEqual(orders.list(13_999), [{ machine: 'm-2', ageMs: 2_999 }]);
    assert.deepEqual(orders.list(14_000), []);
  });

  it('remembers an order from its last sign, not from when it was recorded', () => {
    orders.report('m-4', 22_000);
    orders.report('m-4', 24_000);
    assert.deepEqual(orders.list(26_000), [{ machine: 'm-4', ageMs: 2_000 }]);
  });
});
