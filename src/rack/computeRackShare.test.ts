import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { computeRackShare } from './computeRackShare.js';

const seed = Number(process.env.FC_SEED ?? 42);

/** The least of the largest shares, over every way to spread the hosts. */
function findLeastShare(hosts: number, [first, ...rest]: readonly number[]): number {
  if (first === undefined) return hosts === 0 ? 0 : Infinity;
  const counts = Array.from({ length: Math.min(first, hosts) + 1 }, (_, count) => count);
  return Math.min(...counts.map((count) => Math.max(count, findLeastShare(hosts - count, rest))));
}

/** Guards against a warning about the loss of a rack that a better spread would make harmless. */
describe('computeRackShare', () => {
  it('equals the least share of any spread', () => {
    const racks = fc.array(fc.nat(5), { maxLength: 5 });
    fc.assert(
      fc.property(racks, fc.nat(25), (counts, wanted) => {
        const hosts = Math.min(
          wanted,
          counts.reduce((sum, one) => sum + one, 0),
        );
        assert.equal(computeRackShare(hosts, counts), findLeastShare(hosts, counts));
      }),
      { seed, numRuns: 200 },
    );
  });
});
