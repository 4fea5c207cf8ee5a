import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { RecordBody } from '../record/mod.js';
import { FleetModel, readSeed } from '../testing/mod.js';

const WAVES = ['', 'w1', 'w2'];

const host = fc.constantFrom(...FleetModel.hosts.map((one) => one.name));
const hosts = fc.oneof(fc.uniqueArray(host, { maxLength: 3 }), fc.array(host, { maxLength: 2 }));
const pool = fc.constantFrom(...FleetModel.pools);
const status = fc.constantFrom(
  'live' as const,
  'live' as const,
  'leaving' as const,
  'failed' as const,
);
const index = fc.nat({ max: 40 });
const maintenance = fc.constantFrom(
  ...(['grant', 'grant', 'start', 'start', 'end', 'withdraw'] as const).map(
    (step) => `maintenance-${step}` as const,
  ),
);
type Step = (model: FleetModel) => void;
const decision: fc.Arbitrary<RecordBody> = fc.oneof(
  fc.record({
    type: fc.constant('host-assign' as const),
    hosts,
    pool: fc.option(pool, { nil: undefined }),
  }),
  fc.record({
    type: fc.constant('host-release' as const),
    hosts,
    toPool: fc.option(pool, { nil: undefined }),
    isLoan: fc.constantFrom(undefined, true as const),
  }),
  fc.record({ type: maintenance, hosts, wave: fc.constantFrom(...WAVES) }),
);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 2,
    arbitrary: fc.boolean().map((isStale) => (model: FleetModel) => model.plan(isStale)),
  },
  {
    // The next decision on a draining host that a planner with an up-to-date state would propose.
    weight: 8,
    arbitrary: index.map((at) => (model: FleetModel) => model.proposeNextTransition(at)),
  },
  { weight: 6, arbitrary: decision.map((body) => (model: FleetModel) => model.append(body)) },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.nat({ max: 2 }), fc.constantFrom(...FleetModel.dataCentres), fc.boolean(), status)
      .map(([rack, dataCentre, whole, to]) => (model: FleetModel) => {
        const lost = FleetModel.hosts.filter(
          (one) => one.dataCentre === dataCentre && (whole || one.rack === `r${rack}`),
        );
        const observations = lost.map((one) => ({ host: one.name, status: to }));
        model.append({ type: 'host-observed', observations });
      }),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(pool, fc.nat({ max: 3 })).map(([name, extra]) => (model: FleetModel) => {
      model.append({ type: 'pool-demand', demands: [{ pool: name, extra }] });
    }),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(host, status).map(([name, to]) => (model: FleetModel) => {
      model.append({ type: 'host-observed', observations: [{ host: name, status: to }] });
    }),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(index, fc.boolean()).map(([at, withOffset]) => (model: FleetModel) => {
      const gateway = model.gateways[at % model.gateways.length];
      if (gateway !== undefined) model.follow(gateway, withOffset);
    }),
  },
  {
    weight: 6,
    arbitrary: index.map((at) => (model: FleetModel) => {
      const gateway = model.gateways[at % model.gateways.length];
      const body = gateway?.queue.shift();
      if (body !== undefined) model.append(body);
    }),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(index, fc.boolean(), fc.boolean())
      .map(([at, again, sameOffset]) => (model: FleetModel) => {
        // A record repeated after a lost answer, or the same decision by another planner.
        const old = model.log[model.log.length - 1 - (at % model.log.length)];
        if (
          old === undefined ||
          old.body.type === 'host-drained' ||
          old.body.type === 'session-confirm'
        )
          return;
        if (again && old.body.type !== 'session-open') model.append(old.body);
        else if (!sameOffset) model.applyRecord({ ...old, offset: model.log.length });
      }),
  },
  {
    weight: 1,
    arbitrary: fc
      .constantFrom(...FleetModel.dataCentres)
      .map((name) => (model: FleetModel) => model.openSession(name)),
  },
  {
    weight: 1,
    arbitrary: index.map((at) => (model: FleetModel) => {
      const [gateway] = model.gateways.splice(at % Math.max(1, model.gateways.length), 1);
      if (gateway === undefined) return;
      model.append({ type: 'session-end', session: gateway.session, by: gateway.session });
    }),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(host, fc.boolean()).map(([name, removes]) => (model: FleetModel) => {
      const object = FleetModel.hosts.find((one) => one.name === name);
      const remove = { action: 'remove', kind: 'host', name };
      const put = { action: 'put', kind: 'host', object };
      model.append(model.change(removes ? [remove] : [remove, put]));
      model.append(model.change([put]));
    }),
  },
);

describe('Fleet with random records', () => {
  // Guards against exceeding an availability budget and against two pools using one host at once.
  it('keeps the availability budgets and moves only drained hosts', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 3, maxLength: 3 }),
        fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
        fc.array(step, { minLength: 100, maxLength: 300, size: 'max' }),
        (budgets, guards, steps) => {
          const model = new FleetModel(budgets, guards);
          steps.forEach((one) => one(model));
          model.checkPoolCounts();
        },
      ),
      { seed: readSeed(), numRuns: 1_000 },
    );
  });
});
