import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SystemClock } from '../clock/mod.js';
import { EmulatedStore } from '../emulator/mod.js';
import { StoreLimits, type KeyedValue, type Store } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import { OwnerWriter } from './OwnerWriter.js';

const LIMITS = StoreLimits.parse({});

function openWriter(): { store: EmulatedStore; writer: OwnerWriter; client: Store } {
  const clock = new SystemClock();
  const store = new EmulatedStore(clock);
  const client = store.connect('node');
  const log = { record: () => undefined };
  const context = { clock, log, settings: { store: LIMITS }, store: client };
  const writer = new OwnerWriter(context as unknown as NodeContext, { token: 1, sequence: 0 });
  return { store, writer, client };
}

function buildRecords(sizes: readonly number[]): KeyedValue[] {
  return sizes.map((size, index) => ({ key: `progress/${index}`, value: 'x'.repeat(size) }));
}

function listKeys(store: EmulatedStore): string[] {
  return store.listNewest('work').map(({ key }) => key);
}

describe('OwnerWriter', () => {
  // Guards against an owner that records nothing any more (LOST): one of its records is larger than
  // the store accepts, and the append with it was repeated unchanged.
  it('stores all other records and names the one that the store does not accept', async () => {
    const { store, writer } = openWriter();
    const records = buildRecords([10, 20, LIMITS.recordBytes, 30, 40]);
    const result = await writer.append(records);
    assert.deepEqual(result, { type: 'stored', rejected: ['progress/2'] });
    assert.deepEqual(listKeys(store), ['progress/0', 'progress/1', 'progress/3', 'progress/4']);
    const { rejectedCount } = store;
    assert.deepEqual(await writer.append(buildRecords([5])), { type: 'stored', rejected: [] });
    assert.equal(store.rejectedCount, rejectedCount);
  });

  // Guards against an append of more bytes than the store accepts in one call.
  it('stores many records in several appends, in their order', async () => {
    const { store, writer } = openWriter();
    const records = buildRecords(Array.from({ length: 12 }, () => 200_000));
    assert.deepEqual(await writer.append(records), { type: 'stored', rejected: [] });
    assert.equal(store.rejectedCount, 0);
    assert.equal(store.sent.length, 6);
    assert.deepEqual(
      store.sent.flatMap(({ keys }) => keys),
      records.map(({ key }) => key),
    );
  });
});
