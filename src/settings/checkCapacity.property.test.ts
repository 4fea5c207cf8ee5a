import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Finding } from '../finding/mod.js';
import { checkDocuments } from './checkDocuments.js';
import { DocumentSource } from './DocumentSource.js';
import { loadDocument } from './loadDocuments.js';

const seed = Number(process.env.FC_SEED ?? 42);
const DATA_CENTRES = ['d1', 'd2', 'd3'];

interface HostInput {
  dataCentre: string;
  rack: string;
  cores: number;
}

function check(rules: object, hosts: readonly HostInput[]): Finding[] {
  const list = hosts.map(({ cores, ...host }, index) => ({
    ...host,
    name: `h${index}`,
    address: `10.0.0.1:${index + 1}`,
    resources: { cores },
  }));
  const dataCentres = DATA_CENTRES.map((name) => ({ name, region: 'r' }));
  const texts = [JSON.stringify({ dataCentres, hosts: list }), JSON.stringify(rules, null, 1)];
  const loaded = texts.map((text, index) => loadDocument(new DocumentSource(text, `f${index}`)));
  assert.deepEqual(
    loaded.flatMap(({ findings }) => findings),
    [],
  );
  return checkDocuments(loaded.flatMap(({ documents }) => documents));
}

const host = fc.record({
  dataCentre: fc.constantFrom(...DATA_CENTRES),
  rack: fc.constantFrom('r1', 'r2'),
  cores: fc.nat(2),
});
const pool = fc
  .record({
    need: fc.nat(6),
    headroom: fc.nat(2),
    cores: fc.nat(2),
    budget: fc.nat(4),
    guardRackLoss: fc.boolean(),
    periodDays: fc.constantFrom(0.01, 1, 49),
  })
  .map(({ cores, budget, periodDays, ...rest }) => ({
    ...rest,
    requires: { cores },
    availabilityBudget: Math.min(budget, rest.need + rest.headroom),
    maintenance: { periodDays, windows: [{ from: 1, to: 2 }] },
  }));
const pools = fc
  .array(pool, { minLength: 1, maxLength: 3 })
  .map((list) => list.map((one, index) => ({ ...one, name: `p${index}` })));

/** Guards against warnings without a line, and against errors for rules that only lack hosts. */
describe('the check of rules against an inventory', () => {
  it('reports only warnings, each at a line of the rules', () => {
    fc.assert(
      fc.property(pools, fc.array(host, { maxLength: 12 }), (list, hosts) => {
        check({ pools: list }, hosts).forEach(({ severity, place }) => {
          assert.equal(severity, 'warning');
          assert.equal(place.file, 'f1');
          assert.ok((place.line ?? 0) > 1);
        });
      }),
      { seed, numRuns: 300 },
    );
  });

  it('adds no warning when the budget is raised', () => {
    const budgets = /budget/;
    fc.assert(
      fc.property(pool, fc.array(host, { maxLength: 12 }), (one, hosts) => {
        const size = one.need + one.headroom;
        const warned = (availabilityBudget: number): number =>
          check({ pools: [{ ...one, name: 'p', availabilityBudget }] }, hosts).filter(
            ({ message }) => budgets.test(message),
          ).length;
        for (let budget = 1; budget <= size; budget += 1) {
          assert.ok(warned(budget) <= warned(budget - 1));
        }
      }),
      { seed, numRuns: 200 },
    );
  });
});

/** Guards against missing warnings, and against warnings for rules that can be satisfied. */
describe('a warning about the inventory', () => {
  const hosts = DATA_CENTRES.flatMap((dataCentre) =>
    [1, 2, 2, 2].map((cores) => ({ dataCentre, rack: 'r1', cores })),
  );
  const sound = {
    name: 'p',
    need: 6,
    availabilityBudget: 4,
    requires: { cores: 2 },
    maintenance: { periodDays: 49 },
  };
  const service = { name: 's', pathPrefix: '/s', pool: 'p' };
  const cases: [string, object, RegExp][] = [
    ['too few matching hosts', { pools: [{ ...sound, need: 10 }] }, /10 hosts, .* give it 9 that/],
    [
      'a rack whose loss exceeds the budget',
      { pools: [{ ...sound, availabilityBudget: 1 }] },
      /at least 2 of 6 hosts; its loss exceeds the budget of 1/,
    ],
    [
      'a budget without room for maintenance',
      { pools: [{ ...sound, availabilityBudget: 2 }] },
      /a budget of 2 leaves no host to maintain with a rack of 2/,
    ],
    [
      'a period that the windows do not allow',
      {
        pools: [{ ...sound, maintenance: { periodDays: 0.1, windows: [{ from: 0, to: 1 }] } }],
      },
      /needs 60\.0 hosts a day; the budget and 1 hours of windows allow at most 21\.0, at 10\.0/,
    ],
    ['a team without a quota', { teams: [{ name: 't' }] }, /team "t" has no quota/],
    [
      'a service without hosts in a data centre',
      { pools: [{ ...sound, requires: { cores: 2, accelerators: 1 } }], services: [service] },
      /pool "p" can have no host in d1, d2, d3; gateways/,
    ],
    [
      'a pool smaller than the number of data centres',
      { pools: [{ ...sound, need: 2, availabilityBudget: 2 }], services: [service] },
      /has 2 hosts for 3 data centres/,
    ],
  ];
  cases.forEach(([what, rules, message]) => {
    it(`reports ${what}`, () => {
      const messages = check(rules, hosts).map((one) => one.message);
      assert.match(messages.join('\n'), message);
    });
  });

  it('is absent if the rules can be satisfied', () => {
    const rules = { pools: [sound], services: [service], teams: [{ name: 't', quota: 2 }] };
    assert.deepEqual(check(rules, hosts), []);
  });
});
