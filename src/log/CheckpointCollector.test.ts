import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { Fleet, parseSnapshot } from '../fleet/mod.js';
import { decodeRecord, type LogEntry } from '../record/mod.js';
import { arbitraryEntries, readSeed } from '../testing/mod.js';
import { CheckpointCollector } from './CheckpointCollector.js';
import { encodeCheckpoint } from './encodeCheckpoint.js';

function applyEntries(fleet: Fleet, entries: LogEntry[]): Fleet {
  entries.forEach((entry) => {
    const record = decodeRecord(entry);
    if (record) fleet.apply(record);
    fleet.raiseNextOffset(entry.offset + 1);
  });
  return fleet;
}

/** Encodes random text, which hardly compresses, so that a small state fills several chunks. */
async function encodeRandom(name: string, offset: number): Promise<string[]> {
  let seed = offset + 1;
  const text = Array.from({ length: 150_000 }, () => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed.toString(36).at(-2);
  }).join('');
  return encodeCheckpoint(JSON.stringify({ name, text }), { checkpoint: name, offset });
}

describe('CheckpointCollector', () => {
  it('reaches the same hash from any checkpoint, with repeated and malformed entries', async () => {
    await fc.assert(
      fc.asyncProperty(arbitraryEntries, fc.nat(36), async (entries, cut) => {
        const whole = applyEntries(new Fleet(), entries);
        const before = applyEntries(new Fleet(), entries.slice(0, cut));
        const text = JSON.stringify(before.snapshot());
        const options = { checkpoint: 'c1', offset: before.nextOffset };
        const collector = new CheckpointCollector();
        (await encodeCheckpoint(text, options)).forEach((value, offset) =>
          collector.add({ offset, time: 0, value }),
        );
        const restored = Fleet.restore(await parseSnapshot(await collector.restore()));
        assert.equal(restored.hash(), before.hash());
        // Entries before the cut are applied again, as happens when two sources overlap.
        assert.equal(applyEntries(restored, entries).hash(), whole.hash());
      }),
      { seed: readSeed(), numRuns: 200 },
    );
  });

  it('restores the newest valid checkpoint if later ones are corrupted or incomplete', async () => {
    const sets = await Promise.all(
      ['c1', 'c2', 'c3', 'c4'].map((name, at) => encodeRandom(name, at)),
    );
    assert.ok(sets.every((values) => values.length > 1));
    const [valid = [], corrupted = [], incomplete = [], mismatched = []] = sets;
    const flip = (value: string): string => value.replace(/"data":"(.{40})./, '"data":"$1!');
    const values = [
      ...valid,
      'not JSON',
      ...corrupted.map((value, index) => (index === 1 ? flip(value) : value)),
      ...incomplete.slice(0, -1),
      // A complete checkpoint whose content does not match its hash.
      ...mismatched.map((value) => value.replace(/"hash":"..../, '"hash":"0000')),
    ];
    const collector = new CheckpointCollector();
    values.forEach((value, offset) => collector.add({ offset, time: offset, value }));
    assert.equal(((await collector.restore()) as { name: string }).name, 'c1');
  });

  // Checks the chunk count on its own, since the hash would also reveal a missing chunk.
  it('reports a checkpoint at its last chunk and decodes no incomplete one', async () => {
    const values = await encodeRandom('c1', 7);
    const collector = new CheckpointCollector();
    const infos = values.map((value, offset) => collector.add({ offset, time: offset, value }));
    assert.deepEqual(
      infos.map((info) => info?.offset),
      values.map((_, index) => (index === values.length - 1 ? 7 : undefined)),
    );
    const incomplete = new CheckpointCollector();
    values.slice(1).forEach((value, offset) => incomplete.add({ offset, time: 0, value }));
    const [info] = infos.slice(-1);
    assert.ok(info);
    assert.equal(await incomplete.decode(info), undefined);
  });
});
