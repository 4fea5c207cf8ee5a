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
    // Waiting work is in time unless a test says otherwise.
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
  it('brings standby hosts first and idle hosts of other pools next to a pressed pool', () => {
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

  it('counts hosts that are on their way, and leaves each lender the hosts to keep', () => {
    const { moves } = LENDING.plan([
      buildPool('overloaded', { waitingHosts: 2, incoming: 1, backlogMs: 1_000 }),
      buildPool('quiet', { size: 1, idle: [{ machine: 'q1', idleMs: 200 }] }),
    ]);
    assert.deepEqual(moves, []);
  });

  it('brings the hosts for an expected turn, after those for work that is there', () => {
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

  // Guards against late jobs that fill all hosts when the next turn is due.
  it('takes idle hosts from late jobs for an expected turn, and has late jobs release more', () => {
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

  it('neither parks nor lends the hosts of an expected turn', () => {
    const idle = ['n1', 'n2', 'n3'].map((machine) => ({ machine, idleMs: 5_000 }));
    const { moves } = LENDING.plan([
      buildPool('next', { expectedHosts: 1.5, idle }),
      buildPool('overloaded', { waitingHosts: 3, backlogMs: 1_000 }),
      buildPool('spare', { isStandby: true }),
    ]);
    assert.deepEqual(moves, [{ machine: 'n1', to: 'overloaded' }]);
  });

  it('moves nothing for work that is done before a move is', () => {
    const { moves } = LENDING.plan([
      buildPool('brief', { waitingHosts: 1, backlogMs: 100 }),
      buildPool('quiet', { idle: [{ machine: 'q1', idleMs: 200 }] }),
    ]);
    assert.deepEqual(moves, []);
  });

  it('moves hosts for arriving work before a backlog has built up', () => {
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

  it('parks hosts that stay idle where they cost nothing', () => {
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

  // Guards against late jobs of one queue that keep all hosts while the turn of another begins.
  it('lets a pool with late jobs only release hosts to one whose jobs can be in time', () => {
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
    // Among pools with late jobs only, none takes hosts from another.
    const other = { ...timely, timelyHosts: 0 };
    assert.deepEqual(LENDING.plan([late, other]), { moves: [], releasing: [] });
  });

  // Guards against a lasting task that finds no room for seconds, since it is no backlog to speak of.
  it('brings a host for a lasting task that finds no room, and one at a time', () => {
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
