import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { NodeRecord, OwnerRecord } from '../workLog/mod.js';
import { ClaimSchedule } from './ClaimSchedule.js';
import type { FollowerState } from './TopicFollower.js';

const NODES = 44;
const OWNER = 'n-00';
/** Within this time in ms after the first one, a claim is stored and read by the others. */
const KNOWN_AFTER = { fast: 60, slow: 700 };
const SLOW_MS = 240;

const nodes = new Map(
  Array.from({ length: NODES }, (_, index) => {
    const name = `n-${String(index).padStart(2, '0')}`;
    const record = { session: `s-${name}`, address: '', dataCentre: `dc-${index % 3}`, cores: 1 };
    return [name, NodeRecord.parse(record)] as const;
  }),
);

function buildOwner(fields: Partial<OwnerRecord> = {}): OwnerRecord {
  return OwnerRecord.parse({ token: 4, node: OWNER, session: `s-${OWNER}`, ...fields });
}

function openSchedule(name: string): ClaimSchedule {
  const session = `s-${name}`;
  return new ClaimSchedule({ name, cores: 1, session, ownerSilenceMs: 1_000, random: () => 0.5 });
}

/** Computes the waits in ms of all nodes except the owner, shortest first; the last read is new. */
function listWaits(
  owner: OwnerRecord,
  { hasOwnerEnded = false, silentMs = 0, latencyMs = 4 },
): { name: string; waitMs: number }[] {
  const times = { now: 10_000, ownerSeenAt: 10_000 - silentMs, latencyMs };
  const state: FollowerState = {
    end: 9,
    isCurrent: true,
    isInContact: true,
    freshAt: 10_000,
    contactSince: 0,
  };
  return [...nodes.keys()]
    .filter((name) => name !== OWNER)
    .map((name) => {
      const waitMs = openSchedule(name).computeWait({ owner, nodes, hasOwnerEnded }, state, times);
      return { name, waitMs: waitMs ?? Infinity };
    })
    .sort((one, other) => one.waitMs - other.waitMs);
}

function countWithin(waits: { waitMs: number }[], limitMs: number): number {
  return waits.filter(({ waitMs }) => waitMs < limitMs).length;
}

describe('ClaimSchedule', () => {
  // Guards against claims of all nodes at once (COLD: 166 lost on one day), which delay the appends
  // of a slow store.
  it('lets the first node claim at once and few before its claim is known', () => {
    const cases = [{ silentMs: 1_001 }, { hasOwnerEnded: true }];
    cases.forEach((one) => {
      const fast = listWaits(buildOwner(), one);
      assert.deepEqual(fast[0], { name: 'n-01', waitMs: 0 });
      assert.equal(countWithin(fast, KNOWN_AFTER.fast), 1);
      assert.ok((fast.at(-1)?.waitMs ?? Infinity) <= 300, 'the last node waits too long');
      const slow = listWaits(buildOwner({ storeLatencyMs: SLOW_MS }), one);
      assert.deepEqual(slow[0], { name: 'n-01', waitMs: 0 });
      assert.equal(countWithin(slow, KNOWN_AFTER.slow), 1);
    });
  });

  it('leaves a released shard to the named successor for a while', () => {
    const successor = { node: 'n-07', session: 's-n-07' };
    const waits = listWaits(buildOwner({ isReleased: true, successor }), {});
    assert.deepEqual(waits[0], { name: 'n-07', waitMs: 0 });
    assert.equal(countWithin(waits, KNOWN_AFTER.slow), 1);
    assert.ok((waits[1]?.waitMs ?? Infinity) <= 1_000);
  });

  it('does not take another run of the named process for the successor', () => {
    const successor = { node: 'n-07', session: 'earlier' };
    const waits = listWaits(buildOwner({ isReleased: true, successor }), {});
    assert.equal(countWithin(waits, KNOWN_AFTER.slow), 0);
  });

  it('claims nothing while the owner is not silent', () => {
    assert.equal(countWithin(listWaits(buildOwner(), { silentMs: 999 }), Infinity), 0);
    const slow = listWaits(buildOwner({ intervalMs: 600 }), { silentMs: 1_700 });
    assert.equal(countWithin(slow, Infinity), 0);
  });

  // Guards against claims of all nodes at once after an outage during a failover: the delays had
  // begun before the outage, and had passed when the nodes found the owner gone again.
  it('begins the delays again after an outage of the store', () => {
    [false, true].forEach((hasOwnerEnded) => {
      const waits = [...nodes.keys()]
        .filter((name) => name !== OWNER)
        .map((name) => {
          const schedule = openSchedule(name);
          const computeWait = (now: number, contactSince: number): number | undefined =>
            schedule.computeWait(
              { owner: buildOwner(), nodes, hasOwnerEnded },
              { end: 9, isCurrent: true, isInContact: true, freshAt: now, contactSince },
              { now, ownerSeenAt: 8_000, latencyMs: 4 },
            );
          computeWait(10_000, 0);
          const early = computeWait(15_000, 15_000);
          return hasOwnerEnded ? early : computeWait(16_001, 15_000);
        });
      assert.equal(waits.filter((waitMs) => waitMs === 0).length, 1);
    });
  });
});
