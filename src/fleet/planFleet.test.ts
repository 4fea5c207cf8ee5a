import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConditionTimer } from '../clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../contract/mod.js';
import { ConfigChange, RecordBody } from '../record/mod.js';
import { runGenerator } from '../testing/mod.js';
import { describeContracts } from './describeContracts.js';
import { describeHost } from './describeHost.js';
import { Fleet } from './Fleet.js';
import { planFleet } from './planFleet.js';

const MINUTE_MS = 60_000;
const DAY_MS = 1_440 * MINUTE_MS;

/** A fleet of 24 hosts, two per rack, in three data centres, without gateway sessions. */
class SmallFleet {
  readonly fleet = new Fleet();

  readonly timer = new ConditionTimer();

  now = DAY_MS;

  #offset = 0;

  constructor(pools: object[], hosts = 24) {
    const objects = [
      ...[0, 1, 2].map((dc) => ['dataCentre', { name: `d${dc}`, region: 'r' }]),
      ...pools.map((pool) => ['pool', pool]),
      ...Array.from({ length: hosts }, (_, at) => {
        const rack = `r${Math.floor(at / 6)}`;
        return [
          'host',
          { name: `h${at}`, dataCentre: `d${at % 3}`, rack, address: `10.0.0.${at}:80` },
        ];
      }),
    ];
    const operations = objects.map(([kind, object]) => ({ action: 'put', kind, object }));
    const head = { type: 'config-change', changeId: 'c', baseRevision: 0, part: 1, parts: 1 };
    this.append(ConfigChange.parse({ ...head, operations }));
  }

  append(body: RecordBody): void {
    const offset = this.#offset;
    this.#offset += 1;
    const record = { offset, time: this.now, writer: `w${offset}`, sequence: 1, body };
    assert.deepEqual(this.fleet.apply(record), { outcome: 'accepted' });
  }

  /** Skips an offset that the test itself used. */
  increase(): void {
    this.#offset += 1;
  }

  report(names: string[], status: 'live' | 'failed'): void {
    const observations = names.map((host) => ({ host, status }));
    this.append({ type: 'host-observed', observations });
  }

  plan(): RecordBody[] {
    const { now, timer } = this;
    const policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };
    const plan = planFleet(this.fleet, { now, timer, ...policies });
    const { bodies } = runGenerator(plan);
    bodies.forEach((body) => this.append(body));
    return bodies;
  }

  /** Plans repeatedly until nothing is proposed. */
  runPlans(): void {
    while (this.plan().length > 0);
  }

  list(pool: string): string[] {
    return [...this.fleet.data.hostStates].filter(([, one]) => one.pool === pool).map(([h]) => h);
  }
}

describe('planFleet', () => {
  // Guards against a pool that fails with one rack or data centre although other hosts are free.
  it('spreads a pool over racks and data centres', () => {
    const small = new SmallFleet([{ name: 'a', need: 12 }]);
    small.runPlans();
    assert.equal(small.list('a').length, 12);
    assert.equal(small.fleet.data.index.getLedger('a').largestRackCount, 1);
  });

  // Guards against a wave that waits forever for hosts that do not come back.
  it('maintains every other host when some never come back', () => {
    const pool = { name: 'a', need: 12, headroom: 6, availabilityBudget: 5 };
    const small = new SmallFleet([{ ...pool, maintenance: { periodDays: 10 } }]);
    small.runPlans();
    const lost = ['h0', 'h7', 'h13', 'h20'];
    const joinedAt = small.now;
    const due = new Set(small.list('a'));
    for (let hour = 0; hour < 240; hour += 1) {
      small.now += 30 * MINUTE_MS;
      small.runPlans();
      const rebooting = [...small.fleet.data.hostStates]
        .filter(([, state]) => state.phase === 'maintenance' && state.status === 'live')
        .map(([name]) => name);
      small.now += MINUTE_MS;
      if (rebooting.length > 0) small.report(rebooting, 'failed');
      small.now += 29 * MINUTE_MS;
      const back = rebooting.filter((name) => !lost.includes(name));
      if (back.length > 0) small.report(back, 'live');
    }
    const missed = [...due].filter((name) => {
      const state = small.fleet.findHostState(name);
      return state?.maintainedAt === joinedAt && !lost.includes(name);
    });
    assert.deepEqual(missed, []);
    const [contract] = describeContracts(small.fleet, small.now);
    assert.equal(contract?.lateHosts, 0);
  });

  // Guards against moving hosts because of a partition instead of a host failure.
  it('moves no hosts when a whole data centre disappears', () => {
    const small = new SmallFleet([{ name: 'a', need: 12, lendAfterSeconds: 0 }]);
    small.runPlans();
    const gone = [...small.fleet.data.configuration.host.values()]
      .filter(({ object }) => object.dataCentre === 'd1')
      .map(({ object }) => object.name);
    const before = small.list('a');
    small.report(gone, 'failed');
    small.now += DAY_MS / 24;
    assert.deepEqual(small.plan(), []);
    assert.deepEqual(small.list('a'), before);
    const name = gone[0] ?? '';
    const host = describeHost(small.fleet, { name, now: small.now });
    assert.equal(host?.isPartitionSuspected, true);
  });

  // Guards against mistaking a wave in a small data centre for a partition.
  it('suspects no partition when only hosts in maintenance are down', () => {
    const small = new SmallFleet([{ name: 'a', need: 0, headroom: 6, availabilityBudget: 6 }], 6);
    small.runPlans();
    const hosts = ['h0', 'h3'];
    small.append({ type: 'maintenance-grant', hosts, wave: 'w' });
    small.append({ type: 'maintenance-start', hosts, wave: 'w' });
    small.report(hosts, 'failed');
    assert.deepEqual(small.fleet.data.index.listSuspectedPartitions(), []);
    small.report(['h1', 'h4'], 'failed');
    assert.deepEqual(small.fleet.data.index.listSuspectedPartitions(), ['d1']);
  });

  // Guards against repeatedly sending work to a host that fails all of it.
  it('restores a faulty host only after maintenance or a report that it is healthy', () => {
    const small = new SmallFleet([{ name: 'a', need: 6, headroom: 6, availabilityBudget: 3 }], 12);
    small.runPlans();
    const status = (): string | undefined => small.fleet.findHostState('h0')?.status;
    const observe = (to: 'live' | 'failed', source?: 'gateways'): void => {
      const one = { host: 'h0', status: to, ...(source && { source }) };
      const record = {
        time: small.now,
        writer: 'o',
        body: RecordBody.parse({ type: 'host-observed', observations: [one] }),
      };
      const offset = small.fleet.nextOffset;
      small.fleet.apply({ ...record, offset, sequence: offset + 1 });
      small.increase();
    };
    observe('failed', 'gateways');
    observe('live');
    assert.equal(status(), 'failed');
    observe('live', 'gateways');
    assert.equal(status(), 'live');
    observe('failed', 'gateways');
    small.now += DAY_MS;
    small.runPlans();
    assert.equal(small.fleet.findHostState('h0')?.phase, 'maintenance');
    small.now += MINUTE_MS;
    observe('live');
    small.runPlans();
    const { phase, isFaulty } = small.fleet.findHostState('h0') ?? {};
    assert.deepEqual([phase, isFaulty, status()], ['serving', undefined, 'live']);
  });

  // Guards against lending for a short burst and against leaving a sustained shortage unmet.
  it('borrows from a lending pool only after a sustained shortage', () => {
    const spare = { name: 'spare', need: 2, headroom: 6, availabilityBudget: 6, lends: true };
    const small = new SmallFleet([{ ...spare, headroom: 22 }], 24);
    small.runPlans();
    assert.equal(small.list('spare').length, 24);
    const operations = [
      { action: 'put', kind: 'pool', object: spare },
      { action: 'put', kind: 'pool', object: { name: 'a', need: 4, lendAfterSeconds: 30 } },
    ];
    const { revision } = small.fleet;
    const head = { type: 'config-change', changeId: 'd', baseRevision: revision };
    small.append(ConfigChange.parse({ ...head, part: 1, parts: 1, operations }));
    assert.deepEqual(small.plan(), []);
    const size = describeContracts(small.fleet, small.now)[0]?.promises;
    assert.equal(
      size?.find((one) => one.promise === 'size')?.reason,
      '0 hosts of 4; 4 are lacking',
    );
    small.now += 31_000;
    small.runPlans();
    assert.equal(small.list('a').length, 4);
    assert.equal(small.list('spare').length, 20);
  });

  // Guards against a loan that is never returned, or is returned and made again.
  it('lends hosts during a sustained overload and takes them back afterwards', () => {
    const spare = { name: 'spare', need: 2, headroom: 6, availabilityBudget: 3, lends: true };
    const small = new SmallFleet(
      [spare, { name: 'a', need: 4, availabilityBudget: 4, lendAfterSeconds: 30 }],
      12,
    );
    small.runPlans();
    const demand = (extra: number): void =>
      small.append({ type: 'pool-demand', demands: [{ pool: 'a', extra }] });
    demand(5);
    small.runPlans();
    small.now += 31_000;
    small.runPlans();
    assert.equal(small.list('a').length, 4, 'lent before the shortage had cost as much as a loan');
    small.now += 30_000;
    small.runPlans();
    assert.equal(small.list('spare').length, 5, 'spare keeps its need and budget');
    demand(0);
    small.runPlans();
    small.now += 9 * MINUTE_MS;
    small.runPlans();
    assert.equal(small.list('a').length, 7);
    small.now += MINUTE_MS + 1;
    small.runPlans();
    assert.deepEqual([small.list('a').length, small.list('spare').length], [4, 8]);
    assert.ok([...small.fleet.data.hostStates.values()].every((one) => one.owner === undefined));
  });

  // Guards against a pool keeping hosts that its rules no longer allow or require.
  it('releases ineligible hosts and a sustained surplus', () => {
    const small = new SmallFleet([{ name: 'a', need: 4, headroom: 2, availabilityBudget: 4 }], 6);
    small.runPlans();
    const put = (pool: object, changeId: string): void => {
      const operations = [{ action: 'put', kind: 'pool', object: { name: 'a', ...pool } }];
      const head = { type: 'config-change', changeId, baseRevision: small.fleet.revision };
      small.append(ConfigChange.parse({ ...head, part: 1, parts: 1, operations }));
    };
    put({ need: 2, headroom: 2, availabilityBudget: 4 }, 'smaller');
    small.runPlans();
    assert.equal(small.list('a').length, 6, 'a short surplus is kept');
    small.now += 11 * MINUTE_MS;
    small.runPlans();
    assert.equal(small.list('a').length, 4);
    put({ need: 2, headroom: 2, availabilityBudget: 4, requires: { cores: 1 } }, 'ineligible');
    small.runPlans();
    assert.equal(small.list('a').length, 2, 'ineligible hosts stay only to meet the need');
  });
});
