import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import type { Shard } from '../schedule/mod.js';
import type { NodeContext } from './NodeContext.js';
import { OwnerRecords, type OwnerUpdate } from './_OwnerRecords.js';

const UPDATE: OwnerUpdate = {
  jobs: [],
  waves: [],
  hasNewMachineOrders: false,
  isHeartbeatDue: true,
  isRelease: false,
  readTo: 4,
  intervalMs: 0,
};

describe('OwnerRecords', () => {
  // Guards against an owner that takes itself for the only one for longer than the other nodes do:
  // its last record, with a shorter interval, is stored but not answered.
  it('assumes the shorter interval until an append is known to be stored', () => {
    const shard = { token: 1, listUnrecorded: () => [], listMachineOrders: () => [] };
    const settings = { name: 'node', dataCentre: 'dc-1', retentionMs: 60_000 };
    const context = { clock: new ManualClock(), settings, session: 's' };
    const records = new OwnerRecords(context as unknown as NodeContext, shard as unknown as Shard);
    const slow = records.build({ ...UPDATE, intervalMs: 800 });
    assert.equal(records.announcedIntervalMs, 0);
    records.confirm(slow);
    assert.equal(records.announcedIntervalMs, 800);
    records.build({ ...UPDATE, intervalMs: 100 });
    assert.equal(records.announcedIntervalMs, 100);
  });
});
