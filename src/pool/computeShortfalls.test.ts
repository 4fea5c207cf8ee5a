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
  list.map((one, index) =>
    Host.parse({
      name: `h${index}`,
      dataCentre: 'd',
      rack: 'r',
      address: `10.0.0.1:${index + 1}`,
      resources: one,
    }),
  ),
);
const pools = fc
  .array(fc.record({ requires: resources, need: fc.nat(4), headroom: fc.nat(2) }), { maxLength: 5 })
  .map((list) => list.map((one, index) => Pool.parse({ ...one, name: `p${index}` })));

/** By Hall's theorem: the most that any set of pools asks for beyond the hosts that fit one of it. */
function computeLeastLacking(all: readonly Host[], asked: readonly Pool[]): number {
  let least = 0;
  for (let mask = 0; mask < 2 ** asked.length; mask += 1) {
    const chosen = asked.filter((_, index) => Math.floor(mask / 2 ** index) % 2 === 1);
    const wanted = chosen.reduce((sum, { need, headroom }) => sum + need + headroom, 0);
    const fitting = all.filter((host) => chosen.some((one) => hasResources(host, one.requires)));
    least = Math.max(least, wanted - fitting.length);
  }
  return least;
}

/** Guards against a shortfall that a better distribution of the hosts would avoid, and a missed one. */
describe('computeShortfalls', () => {
  it('leaves as few hosts lacking as any distribution can', () => {
    fc.assert(
      fc.property(hosts, pools, (all, asked) => {
        const lacking = [...computeShortfalls(all, asked).values()];
        const total = lacking.reduce((sum, one) => sum + one, 0);
        assert.equal(total, computeLeastLacking(all, asked));
      }),
      { seed, numRuns: 500 },
    );
  });
});
