import assert from 'node:assert/strict';
import { ConditionTimer } from '../clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../contract/mod.js';
import { Fleet, FleetSnapshot, planFleet } from '../fleet/mod.js';
import { Host } from '../host/mod.js';
import type { Pool } from '../pool/mod.js';
import { ConfigChange, RecordBody, type LoggedRecord } from '../record/mod.js';
import { runGenerator } from './runGenerator.js';

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

/** A gateway with stale state and a queue of records that are not yet appended. */
interface ModelGateway {
  session: string;
  dataCentre: string;
  seen: number;
  poolByHost: Map<string, string>;
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
 * A log, the fleet state after its records, and gateways with stale state. After every record it
 * checks that no decision exceeds an availability budget and that no gateway sends to a host for a
 * pool that the host has left.
 */
export class FleetModel {
  static readonly dataCentres: readonly string[] = DATA_CENTRES;

  static readonly pools: readonly string[] = POOLS;

  static readonly hosts: readonly Host[] = HOSTS;

  fleet = new Fleet();

  readonly log: LoggedRecord[] = [];

  readonly gateways: ModelGateway[] = [];

  /** Older state that a suspended planner process would still use. */
  #staleFleet = new Fleet();

  readonly #timer = new ConditionTimer();

  #sessionCount = 0;

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
    DATA_CENTRES.forEach((dataCentre) => this.openSession(dataCentre));
  }

  /** Builds a configuration change without appending it. */
  change(operations: object[]): RecordBody {
    const baseRevision = this.fleet.revision;
    const changeId = `c${this.log.length}`;
    const head = { type: 'config-change', changeId, baseRevision, part: 1, parts: 1 };
    return ConfigChange.parse({ ...head, operations });
  }

  openSession(dataCentre: string): void {
    this.#sessionCount += 1;
    const session = `s${this.#sessionCount}`;
    // A gateway that opens a session at the address of another one replaces it, so each has its own.
    const address = `10.1.0.1:${this.#sessionCount}`;
    const addresses = { address, peerAddress: address };
    this.append({ type: 'session-open', session, role: 'gateway', dataCentre, ...addresses });
    const gateway = { session, dataCentre, seen: 0, poolByHost: new Map(), queue: [] };
    this.gateways.push(gateway);
    this.follow(gateway);
  }

  /** Updates a gateway to the current state; it stops sending to draining hosts and reports them. */
  follow(gateway: ModelGateway, withOffset = true): void {
    const offset = this.fleet.nextOffset;
    const hosts: string[] = [];
    gateway.poolByHost.clear();
    HOSTS.filter((host) => host.dataCentre === gateway.dataCentre).forEach(({ name }) => {
      const state = this.fleet.findHostState(name);
      if (state?.phase === 'serving') gateway.poolByHost.set(name, state.pool ?? '');
      if (state?.phase === 'granted' || state?.phase === 'releasing') hosts.push(name);
    });
    const { session } = gateway;
    gateway.queue.push({ type: 'session-confirm', session, offset });
    const drained = { type: 'host-drained' as const, session, hosts };
    gateway.queue.push(withOffset ? { ...drained, offset } : drained);
  }

  append(body: RecordBody, writer = `w${this.log.length}`): string {
    const offset = this.log.length;
    return this.applyRecord({ offset, time: offset * 1_000, writer, sequence: 1, body });
  }

  applyRecord(record: LoggedRecord): string {
    const before = POOLS.map((pool) => this.countLiveOutOfService(pool));
    const states = this.listHostStates();
    this.log.push(record);
    const { outcome } = this.fleet.apply(structuredClone(record));
    if (outcome === 'rejected') {
      assert.deepEqual(this.listHostStates(), states, 'a rejected record changed the state');
    }
    if (outcome === 'accepted') this.checkLenderMinimum(record.body);
    const isStart = record.body.type === 'maintenance-start' && outcome === 'accepted';
    const started = isStart && 'hosts' in record.body ? record.body.hosts : [];
    POOLS.forEach((name, index) => {
      const pool = this.fleet.data.configuration.pool.get(name)?.object;
      if (pool === undefined) return;
      const startsLive = started.some((host) => {
        const state = this.fleet.findHostState(host);
        return state?.pool === name && state.status === 'live';
      });
      const takesHosts = this.countLiveOutOfService(name) > (before[index] ?? 0);
      if (record.body.type === 'host-observed' || (!takesHosts && !startsLive)) return;
      const { now, atRisk } = computeUnavailable(this.fleet, pool);
      assert.ok(now + atRisk <= pool.availabilityBudget, `budget of ${name}: ${now} + ${atRisk}`);
    });
    this.checkRouting();
    return outcome;
  }

  /** Checks that a lender keeps enough hosts for its need, its budget and its extra demand. */
  checkLenderMinimum(body: RecordBody): void {
    if (body.type !== 'host-release' || !body.isLoan || body.hosts.length === 0) return;
    const lender = this.fleet.findHostState(body.hosts[0] ?? '')?.pool ?? '';
    const rules = this.fleet.data.configuration.pool.get(lender)?.object;
    assert.ok(rules?.lends, `${lender} is not a lending pool`);
    const remaining = HOSTS.filter(({ name }) => {
      const state = this.fleet.findHostState(name);
      return state?.pool === lender && state.phase !== 'releasing';
    });
    const extra = this.fleet.data.demands.get(lender) ?? 0;
    const minimum = rules.need + rules.availabilityBudget + extra;
    assert.ok(remaining.length >= minimum, `${lender} keeps ${remaining.length} of ${minimum}`);
  }

  listHostStates(): [string, object][] {
    return HOSTS.map(({ name }) => [name, { ...this.fleet.findHostState(name) }]);
  }

  /** Counts the live hosts that decisions keep out of service. */
  countLiveOutOfService(pool: string): number {
    return HOSTS.filter(({ name }) => {
      const state = this.fleet.findHostState(name);
      return state?.pool === pool && state.status === 'live' && state.phase !== 'serving';
    }).length;
  }

  /** Checks that every open gateway sends to a host only for the current pool of the host. */
  checkRouting(): void {
    this.gateways.forEach((gateway) => {
      gateway.poolByHost.forEach((pool, name) => {
        const state = this.fleet.findHostState(name);
        const where = `${gateway.session} sends to ${name} for ${pool}`;
        assert.equal(state?.pool, pool, where);
        assert.notEqual(state?.phase, 'maintenance', where);
      });
    });
  }

  /** Proposes the next transition of one of the hosts out of service, whether it is valid or not. */
  proposeNextTransition(at: number): void {
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

  /** Appends the proposals of a planner that uses the current or an older state. */
  plan(isStale: boolean): void {
    const policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };
    const options = { now: this.fleet.time, ...policies, timer: this.#timer };
    const fleet = isStale ? this.#staleFleet : this.fleet;
    const { bodies } = runGenerator(planFleet(fleet, options));
    bodies.forEach((body) => {
      const outcome = this.append(body);
      if (!isStale)
        assert.equal(outcome, 'accepted', `proposal on the current state ${JSON.stringify(body)}`);
    });
    this.#staleFleet = Fleet.restore(this.fleet.snapshot());
  }

  checkPoolCounts(): void {
    // Copies through the text and the schema, as a checkpoint does.
    const text = this.fleet.snapshotText();
    const copy = Fleet.restore(FleetSnapshot.parse(JSON.parse(text)));
    assert.equal(copy.hash(), this.fleet.hash());
    POOLS.forEach((name) => {
      assert.deepEqual(copy.data.index.getLedger(name), this.fleet.data.index.getLedger(name));
      const counts = this.fleet.data.index.getLedger(name);
      const pool = this.fleet.data.configuration.pool.get(name)?.object;
      if (pool === undefined) return;
      const { now, atRisk } = computeUnavailable(this.fleet, { ...pool, guardRackLoss: true });
      assert.deepEqual([counts.unavailable, counts.largestRackCount], [now, atRisk]);
    });
  }
}
