import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import type { Shard } from '../schedule/mod.js';
import { buildTrackedJob } from '../testing/ScheduleRig.js';
import { WorkLogKey } from '../workLog/mod.js';
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
  // Guards against a job that runs again after its removal: the record of one of its data centres
  // is left, without its final state.
  it('removes all records of a finished job after the retention time', () => {
    const clock = new ManualClock();
    const shard = { token: 1, listUnrecorded: () => [], listMachineOrders: () => [] };
    const settings = { name: 'node', dataCentre: 'dc-1', retentionMs: 60_000 };
    const context = { clock, settings, session: 's' } as unknown as NodeContext;
    const records = new OwnerRecords(context, shard as unknown as Shard);
    const recordKeys = [WorkLogKey.job('a', 'dc-1')];
    records.addFinishedJob(buildTrackedJob('a', [{ count: 1 }], { recordKeys }), clock.readWall());
    // A repeated submission that was under way is stored after the end of the job.
    recordKeys.push(WorkLogKey.job('a', 'dc-2'));
    clock.advance(60_001);
    const removed = records.build(UPDATE).records.filter(({ value }) => value === undefined);
    assert.deepEqual(
      removed.map(({ key }) => key),
      [...recordKeys, WorkLogKey.cancel('a'), WorkLogKey.progress('a')],
    );
  });

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
