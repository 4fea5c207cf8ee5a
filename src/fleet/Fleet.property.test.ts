import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Pool } from '../pool/mod.js';
import { ConfigChange, RecordBody, type LoggedRecord } from '../record/mod.js';
import { SpreadPlacement } from '../contract/mod.js';
import { readSeed, runSteps } from '../testing/mod.js';
import { Fleet } from './Fleet.js';
import { planFleet } from './planFleet.js';

const DATA_CENTRES = ['d1', 'd2'];
const POOLS = ['a', 'b', 'spare'];
const HOSTS = Array.from({ length: 18 }, (_, index) => ({
  name: `h${index}`,
  dataCentre: `d${1 + (index % 2)}`,
  rack: `r${Math.floor(index / 2) % 3}`,
  address: `10.0.0.${index}:80`,
}));
const WAVES = ['', 'w1', 'w2'];

/** A gateway whose state lags behind and whose records wait in its writer. */
interface Gateway {
  session: string;
  dataCentre: string;
  seen: number;
  sendsTo: Map<string, string>;
  queue: RecordBody[];
}

function computeUnavailable(fleet: Fleet, pool: Pool): { now: number; atRisk: number } {
  const racks = new Map<string, number>();
  let now = 0;
  HOSTS.forEach((host) => {
    const state = fleet.findHostState(host.name);
    if (state?.pool !== pool.name) return;
    if (state.phase !== 'serving' || state.status !== 'live') now += 1;
    else {
      const key = host.dataCentre + host.rack;
      racks.set(key, (racks.get(key) ?? 0) + 1);
    }
  });
  return { now, atRisk: pool.guardRackLoss ? Math.max(0, ...racks.values()) : 0 };
}

/** The log, the fold and the lagging gateways, checked after every record. */
class Model {
  fleet = new Fleet();

  readonly log: LoggedRecord[] = [];

  readonly gateways: Gateway[] = [];

  /** The state that a planner with a frozen process still works with. */
  #stale = new Fleet();

  readonly #shortSince = new Map<string, number>();

  #opened = 0;

  constructor(budgets: number[], guards: boolean[]) {
    const pools = POOLS.map((name, index) => ({
      name,
      need: 2,
      headroom: 4 - 2 * index,
      availabilityBudget: budgets[index],
      guardRackLoss: guards[index],
      lends: name === 'spare',
      lendAfterSeconds: 5,
      maintenance: { periodDays: 0.01 },
    }));
    const objects = [
      ...DATA_CENTRES.map((name) => ['dataCentre', { name, region: 'r' }]),
      ...pools.map((pool) => ['pool', pool]),
      ...HOSTS.map((host) => ['host', host]),
    ];
    const operations = objects.map(([kind, object]) => ({ action: 'put', kind, object }));
    this.append(this.change(operations));
    POOLS.forEach((pool, index) => {
      const hosts = HOSTS.slice(index * 5, index * 5 + 5).map((host) => host.name);
      this.append(RecordBody.parse({ type: 'host-assign', pool, hosts }));
    });
    DATA_CENTRES.forEach((dataCentre) => this.open(dataCentre));
  }

  change(operations: object[]): RecordBody {
    const baseRevision = this.fleet.revision;
    const changeId = `c${this.log.length}`;
    const head = { type: 'config-change', changeId, baseRevision, part: 1, parts: 1 };
    return ConfigChange.parse({ ...head, operations });
  }

  open(dataCentre: string): void {
    this.#opened += 1;
    const session = `s${this.#opened}`;
    const address = '10.1.0.1:80';
    const ends = { address, peerAddress: address };
    this.append({ type: 'session-open', session, role: 'gateway', dataCentre, ...ends });
    const gateway = { session, dataCentre, seen: 0, sendsTo: new Map(), queue: [] };
    this.gateways.push(gateway);
    this.follow(gateway);
  }

  /** Brings a gateway up to date; it then stops sending to hosts that drain and reports so. */
  follow(gateway: Gateway, withOffset = true): void {
    const offset = this.fleet.nextOffset;
    const hosts: string[] = [];
    gateway.sendsTo.clear();
    HOSTS.filter((host) => host.dataCentre === gateway.dataCentre).forEach(({ name }) => {
      const state = this.fleet.findHostState(name);
      if (state?.phase === 'serving') gateway.sendsTo.set(name, state.pool ?? '');
      if (state?.phase === 'granted' || state?.phase === 'releasing') hosts.push(name);
    });
    const { session } = gateway;
    gateway.queue.push({ type: 'session-confirm', session, offset });
    const drained = { type: 'host-drained' as const, session, hosts };
    gateway.queue.push(withOffset ? { ...drained, offset } : drained);
  }

  append(body: RecordBody, writer = `w${this.log.length}`): string {
    const offset = this.log.length;
    return this.fold({ offset, time: offset * 1_000, writer, sequence: 1, body });
  }

  fold(record: LoggedRecord): string {
    const before = POOLS.map((pool) => this.countTaken(pool));
    const states = this.listStates();
    this.log.push(record);
    const { outcome } = this.fleet.apply(structuredClone(record));
    if (outcome === 'rejected') {
      assert.deepEqual(this.listStates(), states, 'rejected in part');
    }
    const isStart = record.body.type === 'maintenance-start' && outcome === 'accepted';
    const started = isStart && 'hosts' in record.body ? record.body.hosts : [];
    POOLS.forEach((name, index) => {
      const pool = this.fleet.data.configuration.pool.get(name)?.object;
      if (pool === undefined) return;
      const startsLive = started.some((host) => {
        const state = this.fleet.findHostState(host);
        return state?.pool === name && state.status === 'live';
      });
      const taken = this.countTaken(name) > (before[index] ?? 0);
      if (record.body.type === 'host-observed' || (!taken && !startsLive)) return;
      const { now, atRisk } = computeUnavailable(this.fleet, pool);
      assert.ok(now + atRisk <= pool.availabilityBudget, `budget of ${name}: ${now} + ${atRisk}`);
    });
    this.checkPools();
    return outcome;
  }

  listStates(): [string, object][] {
    return HOSTS.map(({ name }) => [name, { ...this.fleet.findHostState(name) }]);
  }

  /** Counts the live hosts that decisions hold out of service. */
  countTaken(pool: string): number {
    return HOSTS.filter(({ name }) => {
      const state = this.fleet.findHostState(name);
      return state?.pool === pool && state.status === 'live' && state.phase !== 'serving';
    }).length;
  }

  /** No open gateway may send to a host for a pool other than its present one. */
  checkPools(): void {
    this.gateways.forEach((gateway) => {
      gateway.sendsTo.forEach((pool, name) => {
        const state = this.fleet.findHostState(name);
        const where = `${gateway.session} sends to ${name} for ${pool}`;
        assert.equal(state?.pool, pool, where);
        assert.notEqual(state?.phase, 'maintenance', where);
      });
    });
  }

  /** Proposes the next step of one of the hosts out of service, whether it may take it or not. */
  proposeNext(at: number): void {
    const busy = HOSTS.filter(({ name }) => {
      const phase = this.fleet.findHostState(name)?.phase;
      return phase !== 'serving' && phase !== 'unassigned';
    });
    const name = busy[at % Math.max(1, busy.length)]?.name ?? '';
    const state = this.fleet.findHostState(name);
    const hosts = [name];
    if (state?.phase === 'granted') {
      this.append({ type: at % 4 ? 'maintenance-start' : 'maintenance-withdraw', hosts, wave: '' });
    } else if (state?.phase === 'releasing') {
      this.append({ type: 'host-assign', hosts, pool: at % 4 ? state.toPool : state.pool });
    } else if (state?.phase === 'maintenance') {
      this.append({ type: 'maintenance-end', hosts, wave: '' });
    }
  }

  /** Appends what a planner proposes on the present or on an older state. */
  plan(isStale: boolean): void {
    const options = { now: this.fleet.time, policy: new SpreadPlacement() };
    const fleet = isStale ? this.#stale : this.fleet;
    const { bodies } = runSteps(planFleet(fleet, { ...options, shortSince: this.#shortSince }));
    bodies.forEach((body) => {
      const outcome = this.append(body);
      if (!isStale) assert.equal(outcome, 'accepted', `own proposal ${JSON.stringify(body)}`);
    });
    this.#stale = Fleet.restore(this.fleet.snapshot());
  }

  checkCounters(): void {
    const copy = Fleet.restore(this.fleet.snapshot());
    assert.equal(copy.hash(), this.fleet.hash());
    POOLS.forEach((name) => {
      assert.deepEqual(copy.data.index.getLedger(name), this.fleet.data.index.getLedger(name));
      const ledger = this.fleet.data.index.getLedger(name);
      const pool = this.fleet.data.configuration.pool.get(name)?.object;
      if (pool === undefined) return;
      const { now, atRisk } = computeUnavailable(this.fleet, { ...pool, guardRackLoss: true });
      assert.deepEqual([ledger.unavailable, ledger.largestRack], [now, atRisk]);
    });
  }
}

const host = fc.constantFrom(...HOSTS.map((one) => one.name));
const hosts = fc.oneof(fc.uniqueArray(host, { maxLength: 3 }), fc.array(host, { maxLength: 2 }));
const pool = fc.constantFrom(...POOLS);
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
type Step = (model: Model) => void;
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
  }),
  fc.record({ type: maintenance, hosts, wave: fc.constantFrom(...WAVES) }),
);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 2, arbitrary: fc.boolean().map((isStale) => (model: Model) => model.plan(isStale)) },
  {
    // What a planner with a fresh state would propose next for a host that drains.
    weight: 8,
    arbitrary: index.map((at) => (model: Model) => model.proposeNext(at)),
  },
  { weight: 6, arbitrary: decision.map((body) => (model: Model) => model.append(body)) },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.nat({ max: 2 }), fc.constantFrom(...DATA_CENTRES), fc.boolean(), status)
      .map(([rack, dataCentre, whole, to]) => (model: Model) => {
        const lost = HOSTS.filter(
          (one) => one.dataCentre === dataCentre && (whole || one.rack === `r${rack}`),
        );
        const observations = lost.map((one) => ({ host: one.name, status: to }));
        model.append({ type: 'host-observed', observations });
      }),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(host, status).map(([name, to]) => (model: Model) => {
      model.append({ type: 'host-observed', observations: [{ host: name, status: to }] });
    }),
  },
  {
    weight: 4,
    arbitrary: fc.tuple(index, fc.boolean()).map(([at, withOffset]) => (model: Model) => {
      const gateway = model.gateways[at % model.gateways.length];
      if (gateway !== undefined) model.follow(gateway, withOffset);
    }),
  },
  {
    weight: 6,
    arbitrary: index.map((at) => (model: Model) => {
      const gateway = model.gateways[at % model.gateways.length];
      const body = gateway?.queue.shift();
      if (body !== undefined) model.append(body);
    }),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(index, fc.boolean(), fc.boolean())
      .map(([at, again, sameOffset]) => (model: Model) => {
        // A record repeated after a lost answer, or the same decision made again by another planner.
        const old = model.log[model.log.length - 1 - (at % model.log.length)];
        if (
          old === undefined ||
          old.body.type === 'host-drained' ||
          old.body.type === 'session-confirm'
        )
          return;
        if (again && old.body.type !== 'session-open') model.append(old.body);
        else if (!sameOffset) model.fold({ ...old, offset: model.log.length });
      }),
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom(...DATA_CENTRES).map((name) => (model: Model) => model.open(name)),
  },
  {
    weight: 1,
    arbitrary: index.map((at) => (model: Model) => {
      const [gateway] = model.gateways.splice(at % Math.max(1, model.gateways.length), 1);
      if (gateway === undefined) return;
      model.append({ type: 'session-end', session: gateway.session, by: gateway.session });
    }),
  },
  {
    weight: 1,
    arbitrary: fc.tuple(host, fc.boolean()).map(([name, removes]) => (model: Model) => {
      const object = HOSTS.find((one) => one.name === name);
      const remove = { action: 'remove', kind: 'host', name };
      const put = { action: 'put', kind: 'host', object };
      model.append(model.change(removes ? [remove] : [remove, put]));
      model.append(model.change([put]));
    }),
  },
);

describe('the fold under random events', () => {
  // Guards against a budget overrun or a host that two pools use at the same time.
  it('keeps the budgets and moves only drained hosts', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 6 }), { minLength: 3, maxLength: 3 }),
        fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
        fc.array(step, { minLength: 100, maxLength: 300, size: 'max' }),
        (budgets, guards, steps) => {
          const model = new Model(budgets, guards);
          steps.forEach((one) => one(model));
          model.checkCounters();
        },
      ),
      { seed: readSeed(), numRuns: 1_000 },
    );
  });
});
