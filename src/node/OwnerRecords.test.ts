import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '../clock/mod.js';
import { StoreLimits } from '../port/mod.js';
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

function openRecords(clock: ManualClock, fullPools?: readonly string[]): OwnerRecords {
  const organisations = { listFullPools: () => fullPools, removeJob: () => undefined };
  const shard = {
    token: 1,
    organisations,
    listUnrecorded: () => [],
    listMachineOrders: () => [],
  };
  const settings = {
    name: 'node',
    dataCentre: 'dc-1',
    retentionMs: 60_000,
    store: StoreLimits.parse({}),
  };
  const context = { clock, settings, session: 's' };
  return new OwnerRecords(context as unknown as NodeContext, shard as unknown as Shard);
}

function listRemoved(records: OwnerRecords): string[] {
  return records
    .build(UPDATE)
    .records.flatMap(({ key, value }) => (value === undefined ? key : []));
}

describe('OwnerRecords', () => {
  // Guards against records of cancellations that stay for ever, and against a cancellation that is
  // removed before its job, which would then run.
  it('removes the cancellation of an unknown job after the retention time', () => {
    const clock = new ManualClock();
    const records = openRecords(clock);
    const key = WorkLogKey.earlyCancel('a', 'renders');
    const known = WorkLogKey.earlyCancel('b', 'renders');
    [key, known].forEach((one) => records.addEarlyCancel(one));
    clock.advance(59_999);
    records.withdrawEarlyCancels(buildTrackedJob('b', [{ count: 1 }], { recordKeys: [known] }));
    assert.deepEqual(listRemoved(records), []);
    clock.advance(2);
    assert.deepEqual(listRemoved(records), [key]);
    assert.deepEqual(listRemoved(records), []);
  });

  // Guards against a job that runs again after its removal: the record of one of its data centres
  // is left, without its final state.
  it('removes all records of a finished job after the retention time', () => {
    const clock = new ManualClock();
    const records = openRecords(clock);
    const recordKeys = [WorkLogKey.job('a', 'dc-1')];
    records.addFinishedJob(buildTrackedJob('a', [{ count: 1 }], { recordKeys }), clock.readWall());
    // A repeated submission that was under way is stored after the end of the job.
    recordKeys.push(WorkLogKey.job('a', 'dc-2'));
    clock.advance(60_001);
    const expected = [...recordKeys, WorkLogKey.cancel('a'), WorkLogKey.progress('a')];
    assert.deepEqual(listRemoved(records), expected);
  });

  // Guards against an owner that takes itself for the only one for longer than the other nodes do:
  // its last record, with a shorter interval, is stored but not answered.
  it('assumes the shorter interval until an append is known to be stored', () => {
    const records = openRecords(new ManualClock());
    const slow = records.build({ ...UPDATE, intervalMs: 800 });
    assert.equal(records.announcedIntervalMs, 0);
    records.confirm(slow);
    assert.equal(records.announcedIntervalMs, 800);
    records.build({ ...UPDATE, intervalMs: 100 });
    assert.equal(records.announcedIntervalMs, 100);
  });

  // Guards against records in deployments that have no organisations.
  it('records the full pools only where there are organisations', () => {
    const listKeys = (records: OwnerRecords): string[] =>
      records.build(UPDATE).records.map(({ key }) => key);
    const clock = new ManualClock();
    assert.ok(!listKeys(openRecords(clock)).includes(WorkLogKey.poolLoad));
    assert.ok(listKeys(openRecords(clock, ['studio'])).includes(WorkLogKey.poolLoad));
  });
});
