// eslint-disable-next-line import-x/no-extraneous-dependencies -- only tests import this file.
import fc from 'fast-check';
import { Pool } from '../pool/mod.js';
import type { LogEntry, RecordBody } from '../record/mod.js';
import { buildEntries, buildInventory } from './buildRecords.js';

const HOSTS = ['h1', 'h2', 'h3', 'h9'];

const hosts = fc.uniqueArray(fc.constantFrom(...HOSTS), { minLength: 1, maxLength: 2 });
const pool = fc.constantFrom('p1', undefined);

/** Creates the pool and the hosts that the generated records refer to. */
const SETUP_CHANGE: RecordBody = {
  type: 'config-change',
  changeId: 'pools',
  baseRevision: 0,
  part: 1,
  parts: 1,
  operator: 'o',
  operations: [
    {
      action: 'put',
      kind: 'pool',
      object: Pool.parse({
        name: 'p1',
        need: 0,
        headroom: 3,
        availabilityBudget: 3,
        guardRackLoss: false,
      }),
    },
    ...buildInventory(3),
  ],
};

const body = fc.oneof(
  fc.record({ hosts, pool }).map((one): RecordBody => ({ type: 'host-assign', ...one })),
  fc.record({ hosts, toPool: pool }).map((one): RecordBody => ({ type: 'host-release', ...one })),
  fc
    .record({
      hosts,
      type: fc.constantFrom(
        'maintenance-grant' as const,
        'maintenance-start' as const,
        'maintenance-end' as const,
        'maintenance-withdraw' as const,
      ),
    })
    .map((one): RecordBody => ({ ...one, wave: 'w' })),
  fc
    .record({ host: fc.constantFrom(...HOSTS), base: fc.integer({ min: 0, max: 30 }) })
    .map(({ host, base }): RecordBody => ({
      type: 'config-change',
      changeId: `c-${host}-${base}`,
      baseRevision: base,
      part: 1,
      parts: 1,
      operator: 'o',
      operations: buildInventory(3).filter(
        (one) => one.kind === 'dataCentre' || (one.action === 'put' && one.object.name === host),
      ),
    })),
  fc
    .record({
      host: fc.constantFrom(...HOSTS),
      status: fc.constantFrom('live' as const, 'leaving' as const, 'failed' as const),
    })
    .map((one): RecordBody => ({ type: 'host-observed', observations: [one] })),
  fc.constantFrom('{', '{"writer":1}', '{"writer":"w1","sequence":1,"body":{"type":"new-type"}}'),
);

/** Generates log entries: changes, conflicts and observations, mixed with duplicates and malformed entries. */
export const arbitraryEntries: fc.Arbitrary<LogEntry[]> = fc
  .tuple(fc.array(body, { maxLength: 30 }), fc.array(fc.nat(30), { maxLength: 6 }))
  .map(([bodies, repeated]) => {
    const first = buildEntries([SETUP_CHANGE, ...bodies]);
    const repeats = repeated.flatMap((index) => first[index] ?? []);
    return [...first, ...repeats].map((entry, offset) => ({
      ...entry,
      offset,
      time: 1_000 + offset,
    }));
  });
