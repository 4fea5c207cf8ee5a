import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import type { RecordBatch } from '../log/mod.js';
import { decodeRecord } from '../record/mod.js';
import { buildEntries, buildInventory } from '../testing/mod.js';
import { Fleet } from './Fleet.js';
import { FleetReplica, type FleetPosition } from './FleetReplica.js';
import type { RecordsResponse } from './RecordsResponse.js';

const entries = buildEntries(
  buildInventory(9, 1).map((operation, index) => ({
    type: 'config-change',
    changeId: `c${index}`,
    baseRevision: index,
    part: 1,
    parts: 1,
    operator: '',
    operations: [operation],
  })),
);

function buildBatch(from: number, to: number): RecordBatch {
  const records = entries
    .slice(from, to)
    .map(decodeRecord)
    .filter((one) => one !== undefined);
  const base = { records, broken: 0, isComplete: true, contactAgeMs: 0 };
  return { ...base, fromOffset: from, nextOffset: to };
}

function readPosition(replica: FleetReplica): Promise<FleetPosition> {
  return replica.ask((reply) => ({ type: 'position', reply }));
}

describe('FleetReplica', () => {
  const scope = new ActorScope('test', () => {});
  after(() => scope.close());

  it('ignores a batch that would leave a gap', async () => {
    const replica = new FleetReplica(scope);
    replica.send({ type: 'records', batch: buildBatch(0, 3) });
    replica.send({ type: 'records', batch: buildBatch(5, 8) });
    assert.equal((await readPosition(replica)).nextOffset, 3);
  });

  it('ignores an older snapshot, so that the configuration never reverts', async () => {
    const replica = new FleetReplica(scope);
    const old = new Fleet();
    buildBatch(0, 2).records.forEach((record) => old.apply(record));
    replica.send({ type: 'records', batch: buildBatch(0, 6) });
    replica.send({ type: 'restore', snapshot: old.snapshot() });
    const { nextOffset, revision } = await readPosition(replica);
    assert.deepEqual({ nextOffset, revision }, { nextOffset: 6, revision: 6 });
  });

  // `Fleet` ignores a repeated record, but followers of this process would still receive it twice.
  it('forwards each record of overlapping batches once and in order', async () => {
    const replica = new FleetReplica(scope);
    replica.send({ type: 'records', batch: buildBatch(0, 4) });
    replica.send({ type: 'records', batch: buildBatch(2, 7) });
    const { records } = await replica.ask<RecordsResponse>((reply) => ({
      type: 'since',
      offset: 0,
      waitMs: 0,
      reply,
    }));
    assert.deepEqual(
      records.map((one) => one.offset),
      [0, 1, 2, 3, 4, 5, 6],
    );
  });

  // Uses another writer, so that the record is not rejected by its sequence number.
  it('does not apply a record below the next offset, whichever writer appended it', () => {
    const fleet = new Fleet();
    buildBatch(0, 4).records.forEach((record) => fleet.apply(record));
    const [record] = buildBatch(1, 2).records;
    assert.ok(record);
    const before = fleet.hash();
    assert.equal(fleet.apply({ ...record, writer: 'w2' }).outcome, 'duplicate');
    assert.equal(fleet.hash(), before);
  });
});
