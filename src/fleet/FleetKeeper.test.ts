import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { ActorScope } from '../actor/mod.js';
import type { RecordBatch } from '../log/mod.js';
import { decodeRecord } from '../record/mod.js';
import { buildEntries, buildInventory } from '../testing/mod.js';
import { Fleet } from './Fleet.js';
import { FleetKeeper, type FleetPosition } from './FleetKeeper.js';

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
});
