import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { hasResources, Host } from '../host/mod.js';
import { computeShortfalls } from './computeShortfalls.js';
import { Pool } from './Pool.js';

const seed = Number(process.env.FC_SEED ?? 42);
const resources = fc.record({
  cores: fc.nat(3),
  memoryGb: fc.nat(3),
  accelerators: fc.nat(2),
});
const hosts = fc.array(resources, { maxLength: 12 }).map((list) =>
  list.map((hostResources, index) =>
    Host.parse({
      name: `h${index}`,
      dataCentre: 'd',
      rack: 'r',
      address: `10.0.0.1:${index + 1}`,
      resources: hostResources,
    }),
  ),
);
const pools = fc
  .array(fc.record({ requires: resources, need: fc.nat(4), headroom: fc.nat(2) }), { maxLength: 5 })
  .map((list) => list.map((rules, index) => Pool.parse({ ...rules, name: `p${index}` })));

/**
 * Computes the minimum total shortfall by Hall's theorem: the largest excess, over all sets of
 * pools, of the hosts requested by the set over the hosts that fit at least one pool of it.
 */
function computeMinimumShortfall(all: readonly Host[], requested: readonly Pool[]): number {
  let minimum = 0;
  for (let mask = 0; mask < 2 ** requested.length; mask += 1) {
    const subset = requested.filter((_, index) => Math.floor(mask / 2 ** index) % 2 === 1);
    const total = subset.reduce((sum, { need, headroom }) => sum + need + headroom, 0);
    const fitting = all.filter((host) => subset.some((pool) => hasResources(host, pool.requires)));
    minimum = Math.max(minimum, total - fitting.length);
  }
  return minimum;
}

/** Guards against a reported shortfall that another assignment avoids, and an unreported one. */
describe('computeShortfalls', () => {
  it('reports the smallest total shortfall of any assignment', () => {
    fc.assert(
      fc.property(hosts, pools, (all, requested) => {
        const shortfalls = [...computeShortfalls(all, requested).values()];
        const total = shortfalls.reduce((sum, count) => sum + count, 0);
        assert.equal(total, computeMinimumShortfall(all, requested));
      }),
      { seed, numRuns: 500 },
    );
  });
});
