import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BoundReporter } from './BoundReporter.js';
import type { ConnectionBudget } from './ConnectionBudget.js';
import { IngressSettings } from './IngressSettings.js';
import { ProcessBudget } from './ProcessBudget.js';

const HEAD_BYTES = 100;

/** Opens a connection that is reading a body of the given size. */
function openReceiving(budget: ProcessBudget, bodyBytes: number): ConnectionBudget {
  const connection = budget.openConnection(0);
  connection.addRequest(HEAD_BYTES);
  connection.startRequest(HEAD_BYTES, 0);
  connection.addBody(bodyBytes);
  return connection;
}

describe('ProcessBudget', () => {
  // Guards against a flood that takes the memory from which ordinary callers are served.
  it('closes the connection that holds the most for an ordinary caller', () => {
    const budget = new ProcessBudget(IngressSettings.parse({ maxHeldBytes: 300_000 }));
    openReceiving(budget, 20_000);
    const largest = openReceiving(budget, 60_000);
    const ordinary = openReceiving(budget, 4_000);
    assert.deepEqual(budget.chooseRelief(ordinary), { type: 'none' });
    largest.addBody(40_000);
    assert.deepEqual(budget.chooseRelief(ordinary), {
      type: 'close',
      bound: 'held-bytes',
      connection: largest,
    });
    budget.closeConnection(largest);
    assert.deepEqual(budget.chooseRelief(ordinary), { type: 'none' });
  });

  it('refuses a request if no other connection holds much more', () => {
    const budget = new ProcessBudget(IngressSettings.parse({ maxHeldBytes: 100_000 }));
    openReceiving(budget, 20_000);
    const requester = openReceiving(budget, 20_000);
    assert.deepEqual(budget.chooseRelief(requester), { type: 'refuse', bound: 'held-bytes' });
  });

  // Guards against closing a caller whose job is being stored: the close would release nothing.
  it('does not close a connection whose request is executed', () => {
    const budget = new ProcessBudget(IngressSettings.parse({ maxHeldBytes: 100_000 }));
    openReceiving(budget, 60_000).markComplete(0);
    const requester = openReceiving(budget, 100);
    assert.equal(budget.chooseRelief(requester).type, 'refuse');
  });

  it('bounds the open requests', () => {
    const budget = new ProcessBudget(IngressSettings.parse({ maxOpenRequests: 1 }));
    openReceiving(budget, 0);
    const requester = openReceiving(budget, 0);
    assert.deepEqual(budget.chooseRelief(requester), { type: 'refuse', bound: 'open-requests' });
  });

  // Guards against a crowd that takes all descriptors: new callers and the store need some.
  it('closes the connection that has been idle for longest and was never served', () => {
    const settings = IngressSettings.parse({ reservedDescriptors: 2 });
    const budget = new ProcessBudget(settings, { descriptorLimit: 5 });
    assert.equal(budget.maxConnections, 3);
    const served = budget.openConnection(0);
    served.addRequest(HEAD_BYTES);
    served.startRequest(HEAD_BYTES, 0);
    served.finishRequest(1);
    const idle = budget.openConnection(2);
    budget.openConnection(3);
    assert.deepEqual(budget.chooseConnectionRelief(idle), { type: 'none' });
    const newest = budget.openConnection(4);
    assert.deepEqual(budget.chooseConnectionRelief(newest), {
      type: 'close',
      bound: 'connections',
      connection: idle,
    });
  });

  it('leaves half of the descriptors to callers where few are permitted', () => {
    const budget = new ProcessBudget(IngressSettings.parse({}), { descriptorLimit: 1_024 });
    assert.equal(budget.maxConnections, 512);
  });

  it('refuses a connection if requests of all others are executed', () => {
    const budget = new ProcessBudget(IngressSettings.parse({ maxConnections: 1 }));
    openReceiving(budget, 0).markComplete(0);
    const newest = budget.openConnection(1);
    assert.deepEqual(budget.chooseConnectionRelief(newest), {
      type: 'refuse',
      bound: 'connections',
    });
  });
});

describe('BoundReporter', () => {
  // Guards against a log line for each connection of a flood.
  it('reports a bound at most once a second, with the number of events', () => {
    const reporter = new BoundReporter();
    assert.equal(reporter.count('progress', 0), 1);
    assert.equal(reporter.count('progress', 10), undefined);
    assert.equal(reporter.count('connections', 10), 1);
    assert.equal(reporter.count('progress', 1_000), 2);
  });
});
