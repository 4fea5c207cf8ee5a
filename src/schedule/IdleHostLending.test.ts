import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { IdleHostLending } from './IdleHostLending.js';
import type { PoolView } from './PoolSizing.js';

const LENDING = new IdleHostLending({ borrowAboveMs: 400, parkAfterMs: 1_500, keepHosts: 1 });

function buildPool(name: string, fields: Partial<PoolView> = {}): PoolView {
  return {
    name,
    isStandby: false,
    size: 3,
    incoming: 0,
    waitingHosts: 0,
    // By default, all waiting work can still meet its deadline.
    timelyHosts: fields.waitingHosts ?? 0,
    lastingHosts: 0,
    risingHosts: 0,
    expectedHosts: 0,
    backlogMs: 0,
    idle: [],
    ...fields,
  };
}

describe('IdleHostLending', () => {
  it('moves standby hosts first, then idle hosts of other pools, to an overloaded pool', () => {
    const { moves } = LENDING.plan([
      buildPool('overloaded', { waitingHosts: 2.5, backlogMs: 1_000 }),
      buildPool('quiet', {
        idle: [
          { machine: 'q1', idleMs: 200 },
          { machine: 'q2', idleMs: 900 },
        ],
      }),
      buildPool('spare', { isStandby: true, idle: [{ machine: 's1', idleMs: Infinity }] }),
    ]);
    assert.deepEqual(moves, [
      { machine: 's1', to: 'overloaded' },
      { machine: 'q2', to: 'overloaded' },
      { machine: 'q1', to: 'overloaded' },
    ]);
  });

  it('counts incoming hosts and leaves each lender its minimum number of hosts', () => {
    const { moves } = LENDING.plan([
      buildPool('overloaded', { waitingHosts: 2, incoming: 1, backlogMs: 1_000 }),
      buildPool('quiet', { size: 1, idle: [{ machine: 'q1', idleMs: 200 }] }),
    ]);
    assert.deepEqual(moves, []);
  });

  it('moves hosts for waiting work first, then hosts for an expected burst', () => {
    const { moves } = LENDING.plan([
      buildPool('next', { size: 1, expectedHosts: 2.5 }),
      buildPool('overloaded', { waitingHosts: 1, backlogMs: 1_000 }),
      buildPool('spare', {
        isStandby: true,
        idle: ['s1', 's2', 's3', 's4'].map((machine) => ({ machine, idleMs: Infinity })),
      }),
    ]);
    assert.deepEqual(moves, [
      { machine: 's1', to: 'overloaded' },
      { machine: 's2', to: 'next' },
      { machine: 's3', to: 'next' },
    ]);
  });

  // Guards against late jobs that occupy all hosts when the next burst is expected.
  it('has a pool with late jobs lend idle hosts for an expected burst and release more', () => {
    const { moves, releasing } = LENDING.plan([
      buildPool('next', { size: 1, expectedHosts: 3 }),
      buildPool('late', {
        waitingHosts: 9,
        timelyHosts: 0,
        backlogMs: 5_000,
        idle: [{ machine: 'l1', idleMs: 100 }],
      }),
    ]);
    assert.deepEqual(moves, [{ machine: 'l1', to: 'next' }]);
    assert.deepEqual(releasing, ['late']);
  });

  it('neither parks nor lends the hosts needed for an expected burst', () => {
    const idle = ['n1', 'n2', 'n3'].map((machine) => ({ machine, idleMs: 5_000 }));
    const { moves } = LENDING.plan([
      buildPool('next', { expectedHosts: 1.5, idle }),
      buildPool('overloaded', { waitingHosts: 3, backlogMs: 1_000 }),
      buildPool('spare', { isStandby: true }),
    ]);
    assert.deepEqual(moves, [{ machine: 'n1', to: 'overloaded' }]);
  });

  it('moves no host for work that is done before the move would be', () => {
    const { moves } = LENDING.plan([
      buildPool('brief', { waitingHosts: 1, backlogMs: 100 }),
      buildPool('quiet', { idle: [{ machine: 'q1', idleMs: 200 }] }),
    ]);
    assert.deepEqual(moves, []);
  });

  it('moves hosts for arriving work before a backlog builds up', () => {
    const { moves } = LENDING.plan([
      buildPool('rising', { risingHosts: 1.2 }),
      buildPool('spare', {
        isStandby: true,
        idle: ['s1', 's2', 's3'].map((machine) => ({ machine, idleMs: Infinity })),
      }),
    ]);
    assert.deepEqual(moves, [
      { machine: 's1', to: 'rising' },
      { machine: 's2', to: 'rising' },
    ]);
  });

  it('moves hosts that stay idle to the standby pool', () => {
    const { moves } = LENDING.plan([
      buildPool('quiet', {
        size: 2,
        idle: [
          { machine: 'q1', idleMs: 1_600 },
          { machine: 'q2', idleMs: 1_700 },
        ],
      }),
      buildPool('spare', { isStandby: true }),
    ]);
    assert.deepEqual(moves, [{ machine: 'q2', to: 'spare' }]);
  });

  // Guards against late jobs of one queue that keep all hosts when the burst of another one starts.
  it('has a pool with only late jobs release hosts for jobs that can meet their deadlines', () => {
    const late = buildPool('late', {
      waitingHosts: 9,
      timelyHosts: 0,
      backlogMs: 3_000,
      idle: [{ machine: 'l1', idleMs: 1 }],
    });
    const timely = buildPool('timely', { waitingHosts: 3, backlogMs: 800 });
    const { moves, releasing } = LENDING.plan([late, timely]);
    assert.deepEqual(moves, [{ machine: 'l1', to: 'timely' }]);
    assert.deepEqual(releasing, ['late']);
    // Pools with only late jobs do not take hosts from each other.
    const other = { ...timely, timelyHosts: 0 };
    assert.deepEqual(LENDING.plan([late, other]), { moves: [], releasing: [] });
  });

  // Guards against a long-running task that waits for seconds because its backlog is negligible.
  it('moves one host at a time for a long-running task that cannot be placed', () => {
    const waiting = { waitingHosts: 0.2, lastingHosts: 0.2, backlogMs: 10 };
    const spare = buildPool('spare', {
      isStandby: true,
      idle: [
        { machine: 's1', idleMs: Infinity },
        { machine: 's2', idleMs: Infinity },
      ],
    });
    const { moves } = LENDING.plan([buildPool('pool', waiting), spare]);
    assert.deepEqual(moves, [{ machine: 's1', to: 'pool' }]);
    const later = LENDING.plan([buildPool('pool', { ...waiting, incoming: 1 }), spare]);
    assert.deepEqual(later.moves, []);
  });
});
