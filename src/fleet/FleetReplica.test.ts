import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import type { RecordBatch } from '../log/mod.js';
import { decodeRecord } from '../record/mod.js';
import { buildEntries, buildInventory } from '../testing/mod.js';
import { Fleet } from './Fleet.js';
import { FleetKeeper, type FleetPosition } from './FleetReplica.js';
import type { SinceAnswer } from './RecordsResponse.js';

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

function readPosition(keeper: FleetKeeper): Promise<FleetPosition> {
  return keeper.ask((reply) => ({ type: 'position', reply }));
}

describe('FleetKeeper', () => {
  const scope = new ActorScope('test', () => {});
  after(() => scope.close());

  it('refuses a batch that would leave a gap', async () => {
    const keeper = new FleetKeeper(scope);
    keeper.send({ type: 'records', batch: buildBatch(0, 3) });
    keeper.send({ type: 'records', batch: buildBatch(5, 8) });
    assert.equal((await readPosition(keeper)).nextOffset, 3);
  });

  it('refuses to move back to an older snapshot, so that a configuration never reverts', async () => {
    const keeper = new FleetKeeper(scope);
    const old = new Fleet();
    buildBatch(0, 2).records.forEach((record) => old.apply(record));
    keeper.send({ type: 'records', batch: buildBatch(0, 6) });
    keeper.send({ type: 'restore', snapshot: old.snapshot() });
    const { nextOffset, revision } = await readPosition(keeper);
    assert.deepEqual({ nextOffset, revision }, { nextOffset: 6, revision: 6 });
  });

  // The fold would ignore a record below its offset; a follower of this process would not see why.
  it('passes each record of overlapping batches on once and in order', async () => {
    const keeper = new FleetKeeper(scope);
    keeper.send({ type: 'records', batch: buildBatch(0, 4) });
    keeper.send({ type: 'records', batch: buildBatch(2, 7) });
    const { records } = await keeper.ask<SinceAnswer>((reply) => ({
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

  // Another writer, so that the sequence does not give the repetition away.
  it('does not fold a record below the offset, whoever wrote it', () => {
    const fleet = new Fleet();
    buildBatch(0, 4).records.forEach((record) => fleet.apply(record));
    const [record] = buildBatch(1, 2).records;
    assert.ok(record);
    const before = fleet.hash();
    assert.equal(fleet.apply({ ...record, writer: 'w2' }).outcome, 'duplicate');
    assert.equal(fleet.hash(), before);
  });
});
