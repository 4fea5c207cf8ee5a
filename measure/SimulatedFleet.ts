import { ConditionTimer } from '../src/clock/mod.js';
import { SpreadPlacement, SustainedShortageLending } from '../src/contract/mod.js';
import { Fleet, planFleet } from '../src/fleet/mod.js';
import { ConfigChange, type RecordBody } from '../src/record/mod.js';

const DAY_MS = 86_400_000;
const REBOOT_MS = 300_000;
/** A failed host is back after an hour, as restarted or replaced. */
const REPAIR_MS = 3_600_000;
/** Of the reboots for maintenance, one in this many never comes back within the run. */
const LOST_REBOOTS = 200;
/** Daily host failures as a part of the fleet: 350 of 19,000. */
const FAILURES_PER_HOST_DAY = 350 / 19_000;
const HOSTS_PER_CHANGE_PART = 200;

/** Size and rules of a fleet. */
export interface FleetShape {
  name: string;
  hosts: number;
  pools: number;
  dataCentres: number;
  periodDays: number;
  /** Headroom and budget of each pool; by default 5% of it and at least 5. */
  spare?: number;
}

/** Times in milliseconds; counts are hosts or records. */
export interface Costs {
  plans: number;
  longestPlanMs: number;
  longestStretchMs: number;
  records: number;
  recordHosts: number;
  foldMs: number;
  moves: number;
  assigns: number;
  /** Reboots that never end; each takes one host for good. */
  lostHosts: number;
  /** Hosts that pools had fewer available than they need, times minutes. */
  lackingHostMinutes: number;
  maintained: number;
  rejected: number;
}

/** A small generator of reproducible numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}

/** A fleet under simulated time with failures by host and rack, and a planner. */
export class SimulatedFleet {
  readonly fleet = new Fleet();

  readonly costs: Costs = {
    plans: 0,
    longestPlanMs: 0,
    longestStretchMs: 0,
    records: 0,
    recordHosts: 0,
    foldMs: 0,
    moves: 0,
    assigns: 0,
    lostHosts: 0,
    lackingHostMinutes: 0,
    maintained: 0,
    rejected: 0,
  };

  /** Time from the start of the simulation, in milliseconds since the Unix epoch. */
  now = DAY_MS;

  readonly #random = createRandom(42);

  readonly #shape: FleetShape;

  readonly #timer = new ConditionTimer();

  readonly #policies = { policy: new SpreadPlacement(), lending: new SustainedShortageLending() };

  /** Hosts that come back, by time. */
  #returns: { host: string; at: number }[] = [];

  #offset = 0;

  constructor(shape: FleetShape) {
    this.#shape = shape;
    this.#load();
  }

  /** Target size of a pool; one host in ten stays free or in the spare pool. */
  get poolTarget(): number {
    return Math.floor((this.#shape.hosts * 0.9) / this.#shape.pools);
  }

  /** Appends and folds a record. */
  append(body: RecordBody): void {
    const offset = this.#offset;
    this.#offset += 1;
    const record = { offset, time: this.now, writer: `w${offset}`, sequence: 1, body };
    const start = performance.now();
    const verdict = this.fleet.apply(record);
    if (body.type === 'config-change') return;
    this.costs.foldMs += performance.now() - start;
    this.costs.records += 1;
    if (verdict.outcome === 'rejected') this.costs.rejected += 1;
    const size = 'hosts' in body ? body.hosts.length : 0;
    this.costs.recordHosts += 'observations' in body ? body.observations.length : size;
    if (body.type === 'host-assign') this.costs.assigns += size;
    if (body.type === 'host-release') this.costs.moves += size;
    if (body.type === 'maintenance-end') this.costs.maintained += size;
  }

  /** Plans once, folds the proposals and returns how many records they are. */
  plan(): number {
    const { now } = this;
    const begin = performance.now();
    let from = begin;
    const mark = (): void => {
      const at = performance.now();
      this.costs.longestStretchMs = Math.max(this.costs.longestStretchMs, at - from);
      from = at;
    };
    const options = { now, ...this.#policies, timer: this.#timer };
    const steps = planFleet(this.fleet, options);
    let step = steps.next();
    mark();
    while (step.done !== true) {
      step = steps.next();
      mark();
    }
    this.costs.plans += 1;
    this.costs.longestPlanMs = Math.max(this.costs.longestPlanMs, performance.now() - begin);
    const { bodies } = step.value;
    bodies.forEach((body) => {
      this.append(body);
      if (body.type === 'maintenance-start') this.#reboot(body.hosts);
    });
    return bodies.length;
  }

  /** Moves the time on with returns and failures of hosts. */
  increase(byMs: number): void {
    this.now += byMs;
    this.fleet.data.listObjects('pool').forEach(({ name, need }) => {
      const { members, unavailable } = this.fleet.data.index.getLedger(name);
      const lacking = Math.max(0, need - (members - unavailable));
      this.costs.lackingHostMinutes += (lacking * byMs) / 60_000;
    });
    const due = this.#returns.filter(({ at }) => at <= this.now);
    this.#returns = this.#returns.filter(({ at }) => at > this.now);
    this.#report(
      due.map(({ host }) => host),
      'live',
    );
    const expected = (this.#shape.hosts * FAILURES_PER_HOST_DAY * byMs) / DAY_MS;
    const count = Math.floor(expected + this.#random());
    const names = Array.from({ length: count }, () => this.#chooseHost());
    this.#failHosts(names);
    // A rack is lost weekly.
    if (this.#random() < byMs / (7 * DAY_MS)) {
      const first = Math.floor((this.#random() * this.#shape.hosts) / 4) * 4;
      this.#failHosts([0, 1, 2, 3].map((at) => `h${first + at}`));
    }
  }

  #load(): void {
    const { hosts, pools, dataCentres, periodDays } = this.#shape;
    const usual = this.poolTarget;
    const usualBudget = Math.max(5, Math.ceil(usual * 0.05));
    const budget = this.#shape.spare ?? usualBudget;
    // The need is the same whatever is held above it.
    const target = usual - usualBudget + budget;
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
    known.forEach((host) => this.#returns.push({ host, at: this.now + REPAIR_MS }));
  }

  #reboot(names: string[]): void {
    this.now += 1;
    const live = names.filter((name) => this.fleet.findHostState(name)?.status === 'live');
    this.#report(live, 'failed');
    live.forEach((host) => {
      if (this.#random() * LOST_REBOOTS < 1) {
        this.costs.lostHosts += 1;
        return;
      }
      this.#returns.push({ host, at: this.now + REBOOT_MS });
    });
  }

  #report(names: string[], status: 'live' | 'failed'): void {
    if (names.length === 0) return;
    const observations = names.map((host) => ({ host, status }));
    this.append({ type: 'host-observed', observations });
  }
}
