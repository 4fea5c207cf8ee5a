import { ConditionTimer } from '../src/clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../src/contract/mod.js';
import { Fleet, planFleet } from '../src/fleet/mod.js';
import { ConfigChange, type RecordBody } from '../src/record/mod.js';

const DAY_MS = 86_400_000;
const REBOOT_MS = 300_000;
/** Time until a failed host has been restarted or replaced. */
const REPAIR_MS = 3_600_000;
/** One in this many hosts does not return from its maintenance reboot within the simulation. */
const REBOOTS_PER_LOSS = 200;
/** Daily host failures as a fraction of the fleet: 350 of 19,000. */
const FAILURES_PER_HOST_DAY = 350 / 19_000;
const HOSTS_PER_CHANGE_PART = 200;

/** Size and rules of a fleet. */
export interface FleetShape {
  name: string;
  hosts: number;
  pools: number;
  dataCentres: number;
  periodDays: number;
  /** Headroom and availability budget of each pool; by default 5% of its target and at least 5. */
  spareHosts?: number;
}

/** Times in milliseconds; counts are hosts or records. */
export interface SimulationCounters {
  plans: number;
  longestPlanMs: number;
  longestBlockMs: number;
  records: number;
  recordHosts: number;
  applyMs: number;
  moves: number;
  assigns: number;
  /** Hosts that did not return from a maintenance reboot. */
  lostHosts: number;
  /** Available hosts that pools lacked to meet their need, in host minutes. */
  lackingHostMinutes: number;
  maintained: number;
  rejected: number;
}

/** Creates a linear congruential generator of reproducible numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** A fleet in simulated time with a planner and failures of hosts and racks. */
export class SimulatedFleet {
  readonly fleet = new Fleet();

  readonly statistics: SimulationCounters = {
    plans: 0,
    longestPlanMs: 0,
    longestBlockMs: 0,
    records: 0,
    recordHosts: 0,
    applyMs: 0,
    moves: 0,
    assigns: 0,
    lostHosts: 0,
    lackingHostMinutes: 0,
    maintained: 0,
    rejected: 0,
  };

  /** Current simulated time, in milliseconds since the Unix epoch. */
  now = DAY_MS;

  readonly #random = createRandom(42);

  readonly #shape: FleetShape;

  readonly #timer = new ConditionTimer();

  readonly #policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };

  /** Failed and rebooting hosts with the times of their returns. */
  #pendingReturns: { host: string; at: number }[] = [];

  #offset = 0;

  constructor(shape: FleetShape) {
    this.#shape = shape;
    this.#load();
  }

  /** Target size of a pool; one host in ten is left unassigned or in the spare pool. */
  get poolTarget(): number {
    return Math.floor((this.#shape.hosts * 0.9) / this.#shape.pools);
  }

  /** Appends a record and applies it to the fleet. */
  append(body: RecordBody): void {
    const offset = this.#offset;
    this.#offset += 1;
    const record = { offset, time: this.now, writer: `w${offset}`, sequence: 1, body };
    const start = performance.now();
    const verdict = this.fleet.apply(record);
    if (body.type === 'config-change') return;
    this.statistics.applyMs += performance.now() - start;
    this.statistics.records += 1;
    if (verdict.outcome === 'rejected') this.statistics.rejected += 1;
    const size = 'hosts' in body ? body.hosts.length : 0;
    this.statistics.recordHosts += 'observations' in body ? body.observations.length : size;
    if (body.type === 'host-assign') this.statistics.assigns += size;
    if (body.type === 'host-release') this.statistics.moves += size;
    if (body.type === 'maintenance-end') this.statistics.maintained += size;
  }

  /** Plans once, applies the proposed records and returns their number. */
  plan(): number {
    const { now } = this;
    const begin = performance.now();
    let from = begin;
    const recordBlock = (): void => {
      const at = performance.now();
      this.statistics.longestBlockMs = Math.max(this.statistics.longestBlockMs, at - from);
      from = at;
    };
    const options = { now, ...this.#policies, timer: this.#timer };
    const steps = planFleet(this.fleet, options);
    let step = steps.next();
    recordBlock();
    while (step.done !== true) {
      step = steps.next();
      recordBlock();
    }
    this.statistics.plans += 1;
    this.statistics.longestPlanMs = Math.max(
      this.statistics.longestPlanMs,
      performance.now() - begin,
    );
    const { bodies } = step.value;
    bodies.forEach((body) => {
      this.append(body);
      if (body.type === 'maintenance-start') this.#reboot(body.hosts);
    });
    return bodies.length;
  }

  /** Advances the simulated time and simulates returns and failures of hosts. */
  advance(byMs: number): void {
    this.now += byMs;
    this.fleet.data.listObjects('pool').forEach(({ name, need }) => {
      const { members, unavailable } = this.fleet.data.index.getLedger(name);
      const lacking = Math.max(0, need - (members - unavailable));
      this.statistics.lackingHostMinutes += (lacking * byMs) / 60_000;
    });
    const due = this.#pendingReturns.filter(({ at }) => at <= this.now);
    this.#pendingReturns = this.#pendingReturns.filter(({ at }) => at > this.now);
    this.#report(
      due.map(({ host }) => host),
      'live',
    );
    const expected = (this.#shape.hosts * FAILURES_PER_HOST_DAY * byMs) / DAY_MS;
    const count = Math.floor(expected + this.#random());
    const names = Array.from({ length: count }, () => this.#chooseHost());
    this.#failHosts(names);
    // A rack fails once a week on average.
    if (this.#random() < byMs / (7 * DAY_MS)) {
      const first = Math.floor((this.#random() * this.#shape.hosts) / 4) * 4;
      this.#failHosts([0, 1, 2, 3].map((at) => `h${first + at}`));
    }
  }

  #load(): void {
    const { hosts, pools, dataCentres, periodDays } = this.#shape;
    const fullTarget = this.poolTarget;
    const fullBudget = Math.max(5, Math.ceil(fullTarget * 0.05));
    const budget = this.#shape.spareHosts ?? fullBudget;
    // The need does not depend on the headroom.
    const target = fullTarget - fullBudget + budget;
    const objects = [
      ...Array.from({ length: dataCentres }, (_, at) => [
        'dataCentre',
        { name: `d${at}`, region: `g${at % 6}` },
      ]),
      ...Array.from({ length: pools }, (_, at) => [
        'pool',
        {
          name: `p${at}`,
          need: target - Math.min(target, budget),
          headroom: Math.min(target, budget),
          availabilityBudget: Math.min(target, budget),
          lends: at === 0,
          maintenance: { periodDays },
        },
      ]),
      ...Array.from({ length: hosts }, (_, at) => {
        const rack = Math.floor(at / 4);
        const dataCentre = `d${rack % dataCentres}`;
        const address = `10.0.${Math.floor(at / 250)}.${at % 250}:80`;
        return ['host', { name: `h${at}`, dataCentre, rack: `r${rack}`, address }];
      }),
    ];
    const operations = objects.map(([kind, object]) => ({ action: 'put', kind, object }));
    const parts = Math.ceil(operations.length / HOSTS_PER_CHANGE_PART);
    for (let part = 1; part <= parts; part += 1) {
      const from = (part - 1) * HOSTS_PER_CHANGE_PART;
      const slice = operations.slice(from, from + HOSTS_PER_CHANGE_PART);
      const head = { type: 'config-change', changeId: 'load', baseRevision: 0, part, parts };
      this.append(ConfigChange.parse({ ...head, operations: slice }));
    }
  }

  #chooseHost(): string {
    return `h${Math.floor(this.#random() * this.#shape.hosts)}`;
  }

  #failHosts(names: string[]): void {
    const known = names.filter((name) => this.fleet.findHostState(name)?.status === 'live');
    this.#report(known, 'failed');
    known.forEach((host) => this.#pendingReturns.push({ host, at: this.now + REPAIR_MS }));
  }

  #reboot(names: string[]): void {
    this.now += 1;
    const live = names.filter((name) => this.fleet.findHostState(name)?.status === 'live');
    this.#report(live, 'failed');
    live.forEach((host) => {
      if (this.#random() * REBOOTS_PER_LOSS < 1) {
        this.statistics.lostHosts += 1;
        return;
      }
      this.#pendingReturns.push({ host, at: this.now + REBOOT_MS });
    });
  }

  #report(names: string[], status: 'live' | 'failed'): void {
    if (names.length === 0) return;
    const observations = names.map((host) => ({ host, status }));
    this.append({ type: 'host-observed', observations });
  }
}
