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
  // Guards against a node that was started after its owner's claim and holds back all accepted jobs
  // for seconds when it takes over, while one data centre is cut off.
  it('doubts only the jobs of the data centre of an owner that knows of the node', () => {
    assert.deepEqual(buildStarts().list(buildOwner()), ['dc-1']);
    assert.deepEqual(buildStarts().list(buildOwner({ unrecorded: ['dc-3'] })), ['dc-3', 'dc-1']);
  });

  // Guards against tasks that are started twice: an owner asks only the nodes that it knows of.
  it('doubts all jobs of an owner that may not know of the node', () => {
    assert.deepEqual(buildStarts().list(buildOwner({ readTo: REGISTERED_AT })), ['*']);
    assert.deepEqual(new UnrecordedStarts('other').list(buildOwner()), ['*']);
  });

  it('doubts all jobs of an owner that it has told that the store is away', () => {
    const starts = buildStarts();
    starts.confirm(3);
    assert.deepEqual(starts.list(buildOwner()), ['*']);
    assert.deepEqual(starts.list(buildOwner({ token: 4 })), ['dc-1']);
  });

  it('adds nothing for an owner that has handed the shard over', () => {
    assert.deepEqual(buildStarts().list(buildOwner({ isReleased: true })), []);
  });
});
