import assert from 'node:assert/strict';
import { ConditionTimer } from '../clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../contract/mod.js';
import { Fleet, FleetSnapshot, planFleet } from '../fleet/mod.js';
import { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import { ConfigChange, RecordBody, type LoggedRecord } from '../record/mod.js';
import { runSteps } from './runSteps.js';

const DATA_CENTRES = ['d1', 'd2'];
const POOLS = ['a', 'b', 'spare'];
const HOSTS = Array.from({ length: 18 }, (_, index) =>
  Host.parse({
    name: `h${index}`,
    dataCentre: `d${1 + (index % 2)}`,
    rack: `r${Math.floor(index / 2) % 3}`,
    address: `10.0.0.${index}:80`,
  }),
);

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

/**
 * A log, its fold and lagging gateways, checked after every record: no decision exceeds a budget, no
 * gateway sends to a host for a pool that the host has left.
 */
export class FleetModel {
  static readonly dataCentres: readonly string[] = DATA_CENTRES;

  static readonly pools: readonly string[] = POOLS;

  static readonly hosts: readonly Host[] = HOSTS;

  fleet = new Fleet();

  readonly log: LoggedRecord[] = [];

  readonly gateways: Gateway[] = [];

  /** The state that a planner with a frozen process still works with. */
  #stale = new Fleet();

  readonly #timer = new ConditionTimer();

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
    // Each gateway has an address of its own; one that opens at another's address replaces it.
    const address = `10.1.0.1:${this.#opened}`;
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
    if (outcome === 'accepted') this.checkLender(record.body);
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

  /** A lender keeps its need, its demand and its budget. */
  checkLender(body: RecordBody): void {
    if (body.type !== 'host-release' || !body.isLoan || body.hosts.length === 0) return;
    const lender = this.fleet.findHostState(body.hosts[0] ?? '')?.pool ?? '';
    const rules = this.fleet.data.configuration.pool.get(lender)?.object;
    assert.ok(rules?.lends, `${lender} does not lend`);
    const staying = HOSTS.filter(({ name }) => {
      const state = this.fleet.findHostState(name);
      return state?.pool === lender && state.phase !== 'releasing';
    });
    const extra = this.fleet.data.demands.get(lender) ?? 0;
    const floor = rules.need + rules.availabilityBudget + extra;
    assert.ok(staying.length >= floor, `${lender} keeps ${staying.length} of ${floor}`);
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
    const policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };
    const options = { now: this.fleet.time, ...policies, timer: this.#timer };
    const fleet = isStale ? this.#stale : this.fleet;
    const { bodies } = runSteps(planFleet(fleet, options));
    bodies.forEach((body) => {
      const outcome = this.append(body);
      if (!isStale) assert.equal(outcome, 'accepted', `own proposal ${JSON.stringify(body)}`);
    });
    this.#stale = Fleet.restore(this.fleet.snapshot());
  }

  checkCounters(): void {
    // As a checkpoint does it: through the text and the schema.
    const text = this.fleet.snapshotText();
    const copy = Fleet.restore(FleetSnapshot.parse(JSON.parse(text)));
    assert.equal(copy.hash(), this.fleet.hash());
    POOLS.forEach((name) => {
      assert.deepEqual(copy.data.index.getLedger(name), this.fleet.data.index.getLedger(name));
      const ledger = this.fleet.data.index.getLedger(name);
      const pool = this.fleet.data.configuration.pool.get(name)?.object;
      if (pool === undefined) return;
      const { now, atRisk } = computeUnavailable(this.fleet, { ...pool, guardRackLoss: true });
      assert.deepEqual([ledger.unavailable, ledger.largestRackCount], [now, atRisk]);
    });
  }
}
