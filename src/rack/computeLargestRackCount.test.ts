import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { computeLargestRackCount } from './computeLargestRackCount.js';

const seed = Number(process.env.FC_SEED ?? 42);

/** Finds the smallest possible count of the fullest rack by trying every distribution of hosts. */
function findSmallestMaximum(hosts: number, [first, ...rest]: readonly number[]): number {
  if (first === undefined) return hosts === 0 ? 0 : Infinity;
  const counts = Array.from({ length: Math.min(first, hosts) + 1 }, (_, count) => count);
  return Math.min(
    ...counts.map((count) => Math.max(count, findSmallestMaximum(hosts - count, rest))),
  );
}

/** Guards against a rack-loss warning that a more even distribution would avoid. */
describe('computeLargestRackCount', () => {
  it('equals the smallest count of the fullest rack in any distribution', () => {
    const racks = fc.array(fc.nat(5), { maxLength: 5 });
    fc.assert(
      fc.property(racks, fc.nat(25), (counts, requested) => {
        const hosts = Math.min(
          requested,
          counts.reduce((sum, count) => sum + count, 0),
        );
        assert.equal(computeLargestRackCount(hosts, counts), findSmallestMaximum(hosts, counts));
      }),
      { seed, numRuns: 200 },
    );
  });
});
