import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { OwnerRecord } from '../workLog/mod.js';
import { UnrecordedStarts } from './UnrecordedStarts.js';

const REGISTERED_AT = 50;

function buildOwner(fields: Partial<OwnerRecord> = {}): OwnerRecord {
  const record = { token: 3, node: 'node-1', session: 's-1', dataCentre: 'dc-1', unrecorded: [] };
  return OwnerRecord.parse({ ...record, readTo: REGISTERED_AT + 1, ...fields });
}

function buildStarts(): UnrecordedStarts {
  const starts = new UnrecordedStarts('own');
  const node = { session: 'own', address: '', dataCentre: 'dc-2' };
  starts.applyChange({ type: 'node', name: 'node-2', node, offset: REGISTERED_AT });
  return starts;
}

describe('UnrecordedStarts', () => {
  // Guards against delaying all accepted jobs for seconds while one data centre is partitioned: the
  // new owner was started after the claim of its predecessor.
  it('lists only the data centre of an owner that knows the node', () => {
    assert.deepEqual(buildStarts().list(buildOwner()), ['dc-1']);
    assert.deepEqual(buildStarts().list(buildOwner({ unrecorded: ['dc-3'] })), ['dc-3', 'dc-1']);
  });

  // Guards against starting tasks twice: an owner asks only the nodes that it knows.
  it('lists all data centres for an owner that may not know the node', () => {
    assert.deepEqual(buildStarts().list(buildOwner({ readTo: REGISTERED_AT })), ['*']);
    assert.deepEqual(new UnrecordedStarts('other').list(buildOwner()), ['*']);
  });

  it('lists all data centres for an owner that it told that the store is unreachable', () => {
    const starts = buildStarts();
    starts.confirm(3);
    assert.deepEqual(starts.list(buildOwner()), ['*']);
    assert.deepEqual(starts.list(buildOwner({ token: 4 })), ['dc-1']);
  });

  it('adds no data centre for an owner that released the shard', () => {
    assert.deepEqual(buildStarts().list(buildOwner({ isReleased: true })), []);
  });
});
