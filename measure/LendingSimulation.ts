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
/** Duration of a load burst; the pools have bursts one after another. */
const BURST_MS = 20_000;
/** Mean load of a pool as a fraction of its need, and its multiples during and between bursts. */
const MEAN_LOAD = 0.6;
const BURST_LOAD = 5;
const LOW_LOAD = 0.05;
/** Number of hosts above need and headroom that the overload requires. */
const OVERLOAD_HOSTS = 2;

/** Result of one simulated day. Times are in minutes. */
export interface LendingResult {
  /** Number of hosts released from their pool. */
  moves: number;
  demandRecords: number;
  /** Hosts that were missing during the sustained overload, in host minutes. */
  lackingHostMinutes: number;
  /** Maximum number of hosts on loan at a time. */
  mostLent: number;
}

/** Simulates one day of load bursts, without failures, on a fleet with example rules. */
export class LendingSimulation {
  readonly #document: FleetDocument;

  readonly #fleet = new Fleet();

  readonly #lending: LendingPolicy;

  readonly #timer = new ConditionTimer();

  readonly #demand = new DemandEstimator();

  readonly #result: LendingResult = {
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
      // eslint-disable-next-line no-param-reassign -- this object owns the document.
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

  /** Simulates a day in which the first pool is overloaded for `overloadHours` from 06:00. */
  run({ overloadHours }: { overloadHours: number }): LendingResult {
    const pools = this.#document.pools ?? [];
    const [first] = pools;
    for (let at = 0; at < DAY_MS; at += STEP_MS) {
      this.#now += STEP_MS;
      const isOverload = at >= 6 * HOUR_MS && at < (6 + overloadHours) * HOUR_MS;
      const burstIndex = Math.floor(at / BURST_MS) % pools.length;
      const loads = pools.map(({ name, need, headroom }, index) => {
        const load = MEAN_LOAD * need * (burstIndex === index ? BURST_LOAD : LOW_LOAD);
        const hosts = isOverload && index === 0 ? need + headroom + OVERLOAD_HOSTS : load;
        if (isOverload && index === 0) this.#addLackingHosts(name, hosts);
        return { service: name, busySlots: Math.round(hosts * 8), queuedJobs: 0 };
      });
      this.#demand.report('g', { loads, now: this.#now });
      const demands = this.#demand.apply(this.#listPoolStates(), this.#now);
      if (demands.length > 0) {
        this.#result.demandRecords += 1;
        this.#append({ type: 'pool-demand', demands });
      }
      this.#plan();
      if (first) this.#updateMostLent();
    }
    this.#result.lackingHostMinutes = Math.round(this.#result.lackingHostMinutes);
    return this.#result;
  }

  #listPoolStates(): KnownPool[] {
    return (this.#document.pools ?? []).map(({ name, need, headroom }) => {
      const extra = this.#fleet.data.demands.get(name) ?? 0;
      return { pool: name, need, headroom, extra, slotsPerHost: new Map([[name, 8]]) };
    });
  }

  #addLackingHosts(pool: string, hosts: number): void {
    const { members, unavailable } = this.#fleet.data.index.getLedger(pool);
    const lacking = Math.max(0, hosts - (members - unavailable));
    this.#result.lackingHostMinutes += (lacking * STEP_MS) / MINUTE_MS;
  }

  #updateMostLent(): void {
    const states = [...this.#fleet.data.hostStates.values()];
    const lentCount = states.filter(
      (one) => one.owner !== undefined && one.owner !== one.pool,
    ).length;
    this.#result.mostLent = Math.max(this.#result.mostLent, lentCount);
  }

  #append(body: RecordBody): void {
    const offset = this.#offset;
    this.#offset += 1;
    const envelope = { writer: 'm', sequence: offset + 1, body };
    const { outcome } = this.#fleet.apply({ offset, time: this.#now, ...envelope });
    if (outcome !== 'accepted') throw new Error(`${body.type} was ${outcome}`);
    if (body.type === 'host-release') this.#result.moves += body.hosts.length;
  }

  #plan(): number {
    const policies = { policy: new SpreadPlacement(), lending: this.#lending };
    const steps = planFleet(this.#fleet, { now: this.#now, ...policies, timer: this.#timer });
    let step = steps.next();
    while (step.done !== true) step = steps.next();
    // Maintenance is excluded, so that every move is due to lending.
    const bodies = step.value.bodies.filter(({ type }) => !type.startsWith('maintenance'));
    bodies.forEach((body) => this.#append(body));
    return bodies.length;
  }
}
