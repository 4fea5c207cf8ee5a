/**
 * Measures snapshot, checkpoint and restore at 1,000, 5,000 and 19,000 hosts, and the CPU time for
 * applying records at the daily rates of section 1 of the design.
 *
 * @module
 */
import {
  CheckpointCollector,
  collectSlices,
  encodeCheckpoint,
  Fleet,
  parseSnapshot,
} from '../src/mod.js';
import type { LoggedRecord, RecordBody } from '../src/record/mod.js';
import { buildInventory } from '../src/testing/mod.js';
import { formatFigure, measureStep } from './measureStep.js';

const SIZES = [1_000, 5_000, 19_000];
const OPERATIONS_PER_PART = 200;
const CHANGES_A_DAY = 61_000;
/** Two observations, failed and live again, for each host failure and each restart of a day. */
const OBSERVATIONS_A_DAY = 2 * (350 + 1_100);
const SAMPLE_CHANGES = 200;
const DAY_SECONDS = 86_400;

function buildRecord(offset: number, body: RecordBody): LoggedRecord {
  return { writer: 'w', sequence: offset + 1, offset, time: 1_000 + offset, body };
}

function buildFleet(hosts: number): Fleet {
  const operations = buildInventory(hosts, 21);
  const parts = Math.ceil(operations.length / OPERATIONS_PER_PART);
  const fleet = new Fleet();
  for (let part = 1; part <= parts; part += 1) {
    const slice = operations.slice((part - 1) * OPERATIONS_PER_PART, part * OPERATIONS_PER_PART);
    const change = { changeId: 'inventory', baseRevision: 0, part, parts, operator: 'measure' };
    fleet.apply(buildRecord(part - 1, { type: 'config-change', ...change, operations: slice }));
  }
  return fleet;
}

function measureApply(fleet: Fleet, hosts: number) {
  const puts = buildInventory(SAMPLE_CHANGES, 21).filter((one) => one.kind === 'host');
  const begin = process.cpuUsage();
  puts.forEach((operation, index) => {
    const base = { changeId: `c${index}`, baseRevision: fleet.revision, part: 1, parts: 1 };
    const body: RecordBody = {
      type: 'config-change',
      ...base,
      operator: 'measure',
      operations: [operation],
    };
    fleet.apply(buildRecord(fleet.nextOffset, body));
  });
  const change = process.cpuUsage(begin);
  const observationBegin = process.cpuUsage();
  for (let index = 0; index < SAMPLE_CHANGES; index += 1) {
    const host = `h${(index % hosts) + 1}`;
    const observations = [{ host, status: 'failed' as const }];
    fleet.apply(buildRecord(fleet.nextOffset, { type: 'host-observed', observations }));
  }
  const observationUsage = process.cpuUsage(observationBegin);
  const msPerChange = (change.user + change.system) / 1_000 / puts.length;
  const msPerObservation =
    (observationUsage.user + observationUsage.system) / 1_000 / SAMPLE_CHANGES;
  const daily = msPerChange * CHANGES_A_DAY + msPerObservation * OBSERVATIONS_A_DAY;
  return {
    msPerChange: formatFigure(msPerChange),
    msPerObservation: formatFigure(msPerObservation),
    foldShareOfCorePercent: formatFigure(daily / 10 / DAY_SECONDS),
  };
}

for (const hosts of SIZES) {
  const fleet = buildFleet(hosts);
  const snapshot = await measureStep(() => fleet.snapshot());
  const text = await measureStep(() => collectSlices(fleet.snapshotSlices()));
  const options = { checkpoint: 'c', offset: fleet.nextOffset };
  const encode = await measureStep(() => encodeCheckpoint(text.result, options));
  const collector = new CheckpointCollector();
  encode.result.forEach((value, offset) => collector.add({ offset, time: 0, value }));
  const decode = await measureStep(() => collector.restore());
  const parse = await measureStep(() => parseSnapshot(decode.result));
  const before = process.memoryUsage().heapUsed;
  const restore = await measureStep(() => Fleet.restore(parse.result, { isOwned: true }));
  const heapMb = formatFigure((process.memoryUsage().heapUsed - before) / 1e6);
  const hash = await measureStep(() => fleet.hash());
  if (restore.result.hash() !== hash.result) throw new Error('the restored state differs');
  const steps = { snapshot, text, encode, decode, parse, restore, hash };
  const figures = Object.fromEntries(
    Object.entries(steps).map(([name, { ms, longestMs }]) => [name, { ms, longestMs }]),
  );
  const bytes = encode.result.reduce((sum, value) => sum + value.length, 0);
  console.log(
    JSON.stringify({
      hosts,
      snapshotBytes: text.result.length,
      checkpointBytes: bytes,
      chunks: encode.result.length,
      heapMb,
      ...figures,
      ...measureApply(fleet, hosts),
    }),
  );
}
