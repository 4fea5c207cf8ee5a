/**
 * Measures planning and the application of records on simulated fleets:
 * `npm run measure -- fleet [HOSTS]`.
 *
 * @module
 */
import { ConfigChange } from '../src/record/mod.js';
import {
  computeMinimumHeadroom,
  LendingPolicy,
  SustainedShortageLending,
} from '../src/contract/mod.js';
import { LendingSimulation } from './LendingSimulation.js';
import { SimulatedFleet, type FleetShape } from './SimulatedFleet.js';

const STEP_MS = 600_000;
/** Maximum simulated days; larger fleets simulate fewer, so that all runs take less than 90 s. */
const MAX_DAYS = 49;
const HOST_DAYS = 10_000;
const DAY_MS = 86_400_000;
const HOSTS_PER_RACK = 4;
const CONFIG_CHANGES = 200;

const SHAPES: FleetShape[] = [
  { name: 'voix-de-lande', hosts: 40, pools: 5, dataCentres: 4, periodDays: 49 },
  { name: 'tidewrack', hosts: 38, pools: 5, dataCentres: 3, periodDays: 49 },
  {
    name: 'voix-de-lande, least',
    hosts: 40,
    pools: 5,
    dataCentres: 4,
    periodDays: 49,
    spareHosts: 2,
  },
  { name: 'tidewrack, least', hosts: 38, pools: 5, dataCentres: 3, periodDays: 49, spareHosts: 2 },
  { name: '1,000', hosts: 1_000, pools: 27, dataCentres: 21, periodDays: 49 },
  { name: '5,000', hosts: 5_000, pools: 27, dataCentres: 21, periodDays: 49 },
  { name: '19,000', hosts: 19_000, pools: 27, dataCentres: 21, periodDays: 49 },
];

/** Measures the time to apply a configuration change of one host, in milliseconds. */
function measureChangeMs(fleet: SimulatedFleet): number {
  const host = fleet.fleet.data.configuration.host.get('h0')?.object;
  const start = performance.now();
  for (let at = 0; at < CONFIG_CHANGES; at += 1) {
    const baseRevision = fleet.fleet.revision;
    const head = { type: 'config-change', changeId: `m${at}`, baseRevision, part: 1, parts: 1 };
    const operations = [{ action: 'put', kind: 'host', object: host }];
    fleet.append(ConfigChange.parse({ ...head, operations }));
  }
  return (performance.now() - start) / CONFIG_CHANGES;
}

function formatTenths(value: number): number {
  return Math.round(value * 10) / 10;
}

function measureFleet(shape: FleetShape): Record<string, number | string> {
  const simulated = new SimulatedFleet(shape);
  while (simulated.plan() > 0);
  const initialAssigns = simulated.statistics.assigns;
  const days = Math.min(MAX_DAYS, HOST_DAYS / shape.hosts);
  const end = simulated.now + days * DAY_MS;
  while (simulated.now < end) {
    simulated.advance(STEP_MS);
    simulated.plan();
  }
  const { statistics } = simulated;
  const pools = simulated.fleet.data.listObjects('pool');
  const held = pools.reduce(
    (sum, { name }) => sum + simulated.fleet.data.index.getLedger(name).members,
    0,
  );
  const need = pools.reduce((sum, pool) => sum + pool.need, 0);
  const racks = Math.ceil(shape.hosts / HOSTS_PER_RACK);
  const minimumSpare = pools.reduce((sum, pool) => sum + computeMinimumHeadroom(pool, racks), 0);
  return {
    fleet: shape.name,
    days: formatTenths(days),
    spareHeld: held - need,
    spareLowerBound: minimumSpare,
    lackingHostMinutes: Math.round(statistics.lackingHostMinutes),
    moves: statistics.moves,
    replacements: statistics.assigns - initialAssigns,
    // A host that does not return from its reboot must be replaced if free hosts remain.
    replacementsLowerBound: Math.min(statistics.lostHosts, shape.hosts - initialAssigns),
    maintainedPerDay: formatTenths(statistics.maintained / days),
    requiredPerDay: formatTenths(held / shape.periodDays),
    longestPlanMs: formatTenths(statistics.longestPlanMs),
    longestStretchMs: formatTenths(statistics.longestBlockMs),
    foldUsPerRecord: formatTenths((statistics.applyMs / statistics.records) * 1e3),
    changeUs: Math.round(measureChangeMs(simulated) * 1e3),
    rejected: statistics.rejected,
    heapMb: Math.round(process.memoryUsage().heapUsed / 2 ** 20),
  };
}

/** Lends no hosts; the baseline for comparison. */
class NoLending extends LendingPolicy {
  override plan() {
    return { loans: [], returns: [] };
  }
}

function measureLending(fleet: string): Record<string, number | string>[] {
  return [0, 4].flatMap((overloadHours) =>
    [
      { lending: new NoLending() },
      { lending: new SustainedShortageLending() },
      // With a budget of 3, a borrower can have two hosts in one rack and still release a host.
      { lending: new SustainedShortageLending(), budget: 3 },
    ].map((options) => ({
      fleet: `${fleet}, day of floods`,
      overloadHours,
      lending: options.lending instanceof NoLending ? 'none' : 'lasting',
      budget: options.budget ?? 'as today',
      ...new LendingSimulation(fleet, options).run({ overloadHours }),
    })),
  );
}

function formatRow(row: Record<string, number | string>): string {
  const { fleet, ...rest } = row;
  const cells = Object.entries(rest).map(([name, value]) => `${name}=${value}`);
  return `${String(fleet).padEnd(30)} ${cells.join(' ')}`;
}

const only = process.argv[3];
const begin = performance.now();
const fleets = SHAPES.filter((shape) => only === undefined || String(shape.hosts) === only);
const days = only === undefined ? ['voix-de-lande', 'tidewrack'] : [];
const rows = [...fleets.map(measureFleet), ...days.flatMap(measureLending)];
console.log(rows.map((row) => formatRow(row)).join('\n'));
console.log(`${Math.round((performance.now() - begin) / 1e3)} s`);
