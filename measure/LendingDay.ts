import path from 'node:path';
import { ConditionTimer } from '../src/clock/mod.js';
import { SpreadPlacement, type LendingPolicy } from '../src/contract/mod.js';
import { Fleet, planFleet } from '../src/fleet/mod.js';
import { DemandEstimator, type KnownPool } from '../src/pool/mod.js';
import { ConfigChange, type RecordBody } from '../src/record/mod.js';
import { loadDocuments, mergeDocuments, type FleetDocument } from '../src/settings/mod.js';

const EXAMPLES = path.resolve(import.meta.dirname, '..', '..', 'examples');
const STEP_MS = 5_000;
const DAY_MS = 86_400_000;
const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;
/** Each queue in turn floods for this long. */
const FLOOD_MS = 20_000;
/** Mean load of a pool as a part of its need, and what it rises to and falls to. */
const MEAN = 0.6;
const FLOOD = 5;
const LULL = 0.05;
/** The overload asks for this many hosts above need and headroom. */
const OVERLOAD_HOSTS = 2;

/** What one simulated day showed. Times are minutes. */
export interface LendingCosts {
  /** Hosts that left one pool for another or for none. */
  moves: number;
  demandRecords: number;
  /** Hosts that the lasting overload lacked, times minutes. */
  lackingHostMinutes: number;
  /** Most hosts lent at a time. */
  mostLent: number;
}

/** A fleet of today with its example rules, over one day of floods, without failures. */
export class LendingDay {
  readonly #document: FleetDocument;

  readonly #fleet = new Fleet();

  readonly #lending: LendingPolicy;

  readonly #timer = new ConditionTimer();

  readonly #demand = new DemandEstimator();

  readonly #costs: LendingCosts = {
    moves: 0,
    demandRecords: 0,
    lackingHostMinutes: 0,
    mostLent: 0,
  };

  #now = DAY_MS;

  #offset = 0;

  /** `budget` replaces the availability budget of the pools that do not lend. */
  constructor(name: string, { lending, budget }: { lending: LendingPolicy; budget?: number }) {
    const files = ['inventory.jsonc', 'rules.jsonc'].map((file) => path.join(EXAMPLES, name, file));
    const { documents } = loadDocuments(files);
    this.#document = mergeDocuments(
      documents.flatMap((one) => (one.kind === 'fleet' ? [one.value] : [])),
    );
    this.#lending = lending;
    const kinds = { dataCentres: 'dataCentre', hosts: 'host', pools: 'pool', services: 'service' };
    this.#document.pools?.forEach((pool) => {
      if (budget === undefined || pool.lends) return;
      // eslint-disable-next-line no-param-reassign -- the document is this object's own copy.
      pool.availabilityBudget = budget;
    });
    const operations = Object.entries(kinds).flatMap(([list, kind]) =>
      (this.#document[list as keyof typeof kinds] ?? []).map((object) => ({
        action: 'put',
        kind,
        object,
      })),
    );
    const head = { type: 'config-change', changeId: 'c', baseRevision: 0, part: 1, parts: 1 };
    this.#append(ConfigChange.parse({ ...head, operations }));
    while (this.#plan() > 0);
  }

  /** Runs a day; with `overloadHours` the first pool is overloaded for as long from 06:00. */
  run({ overloadHours }: { overloadHours: number }): LendingCosts {
    const pools = this.#document.pools ?? [];
    const [first] = pools;
    for (let at = 0; at < DAY_MS; at += STEP_MS) {
      this.#now += STEP_MS;
      const isOverload = at >= 6 * HOUR_MS && at < (6 + overloadHours) * HOUR_MS;
      const turn = Math.floor(at / FLOOD_MS) % pools.length;
      const loads = pools.map(({ name, need, headroom }, index) => {
        const usual = MEAN * need * (turn === index ? FLOOD : LULL);
        const hosts = isOverload && index === 0 ? need + headroom + OVERLOAD_HOSTS : usual;
        if (isOverload && index === 0) this.#countLacking(name, hosts);
        return { service: name, busySlots: Math.round(hosts * 8), queuedJobs: 0 };
      });
      this.#demand.report('g', { loads, now: this.#now });
      const demands = this.#demand.apply(this.#listKnown(), this.#now);
      if (demands.length > 0) {
        this.#costs.demandRecords += 1;
        this.#append({ type: 'pool-demand', demands });
      }
      this.#plan();
      if (first) this.#countLent();
    }
    this.#costs.lackingHostMinutes = Math.round(this.#costs.lackingHostMinutes);
    return this.#costs;
  }

  #listKnown(): KnownPool[] {
    return (this.#document.pools ?? []).map(({ name, need, headroom }) => {
      const extra = this.#fleet.data.demands.get(name) ?? 0;
      return { pool: name, need, headroom, extra, slotsPerHost: new Map([[name, 8]]) };
    });
  }

  #countLacking(pool: string, hosts: number): void {
    const { members, unavailable } = this.#fleet.data.index.getLedger(pool);
    const lacking = Math.max(0, hosts - (members - unavailable));
    this.#costs.lackingHostMinutes += (lacking * STEP_MS) / MINUTE_MS;
  }

  #countLent(): void {
    const states = [...this.#fleet.data.hostStates.values()];
    const lent = states.filter((one) => one.owner !== undefined && one.owner !== one.pool).length;
    this.#costs.mostLent = Math.max(this.#costs.mostLent, lent);
  }

  #append(body: RecordBody): void {
    const offset = this.#offset;
    this.#offset += 1;
    const envelope = { writer: 'm', sequence: offset + 1, body };
    const { outcome } = this.#fleet.apply({ offset, time: this.#now, ...envelope });
    if (outcome !== 'accepted') throw new Error(`${body.type} was ${outcome}`);
    if (body.type === 'host-release') this.#costs.moves += body.hosts.length;
  }

  #plan(): number {
    const policies = { policy: new SpreadPlacement(), lending: this.#lending };
    const steps = planFleet(this.#fleet, { now: this.#now, ...policies, timer: this.#timer });
    let step = steps.next();
    while (step.done !== true) step = steps.next();
    // Maintenance is left out, so that every move is one of lending.
    const bodies = step.value.bodies.filter(({ type }) => !type.startsWith('maintenance'));
    bodies.forEach((body) => this.#append(body));
    return bodies.length;
  }
}
