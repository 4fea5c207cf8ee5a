import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RecentOrders } from './RecentOrders.js';

/** Guards against two owners that give orders about one machine within the pause between holders. */
describe('RecentOrders', () => {
  const orders = new RecentOrders({ leaseMs: 3_000, inherited: ['m-1'], startedAt: 10_000 });

  it('keeps from the machines of the owner before for the pause, and from no others', () => {
    assert.equal(orders.isFree('m-1', 12_999), false);
    assert.equal(orders.isFree('m-1', 13_000), true);
    assert.equal(orders.isFree('m-2', 10_000), true);
  });

  it('hands on its own machines and those of the owner before while they matter', () => {
    orders.report('m-2', 11_000);
    assert.deepEqual(orders.list(11_000), ['m-1', 'm-2']);
    orders.report('m-3', 15_500);
    assert.deepEqual(orders.list(15_500), ['m-2', 'm-3']);
    assert.deepEqual(orders.list(16_500), ['m-3']);
    assert.deepEqual(orders.list(21_000), []);
  });

  it('remembers an order from when it was sent, not from when it was recorded', () => {
    orders.report('m-4', 22_000);
    orders.report('m-4', 24_000);
    assert.deepEqual(orders.list(28_000), ['m-4']);
  });
});
