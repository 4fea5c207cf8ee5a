/**
 * Measures plans and folds on simulated fleets: `npm run measure -- fleet [HOSTS]`.
 *
 * @module
 */
import { ConfigChange } from '../src/record/mod.js';
import { SimulatedFleet, type FleetShape } from './SimulatedFleet.js';

const STEP_MS = 600_000;
/** Days simulated at most; large fleets run fewer, so that a run takes minutes. */
const MAX_DAYS = 49;
const HOST_DAYS = 40_000;
const DAY_MS = 86_400_000;
const HOSTS_PER_RACK = 4;
const CONFIG_CHANGES = 200;

const SHAPES: FleetShape[] = [
  { name: 'voix-de-lande', hosts: 40, pools: 5, dataCentres: 4, periodDays: 49 },
  { name: 'tidewrack', hosts: 38, pools: 5, dataCentres: 3, periodDays: 49 },
  { name: '1,000', hosts: 1_000, pools: 27, dataCentres: 21, periodDays: 49 },
  { name: '5,000', hosts: 5_000, pools: 27, dataCentres: 21, periodDays: 49 },
  { name: '19,000', hosts: 19_000, pools: 27, dataCentres: 21, periodDays: 49 },
];

/** Time of one accepted configuration change of one host, in milliseconds. */
function measureChange(fleet: SimulatedFleet): number {
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

function measureFleet(shape: FleetShape): Record<string, number | string> {
  const simulated = new SimulatedFleet(shape);
  while (simulated.plan() > 0);
  const firstAssigns = simulated.costs.assigns;
  const firstPlanMs = simulated.costs.longestPlanMs;
  const days = Math.min(MAX_DAYS, HOST_DAYS / shape.hosts);
  const end = simulated.now + days * DAY_MS;
  const begin = performance.now();
  while (simulated.now < end) {
    simulated.increase(STEP_MS);
    simulated.plan();
  }
  const { costs } = simulated;
  const pools = simulated.fleet.data.listObjects('pool');
  const held = pools.map(({ name }) => simulated.fleet.data.index.getLedger(name).members);
  const need = pools.reduce((sum, pool) => sum + pool.need, 0);
  // To stay at its need with one host in maintenance and one rack lost, a pool must hold one host
  // and the largest rack of the most even spread above its need.
  const racks = Math.ceil(shape.hosts / HOSTS_PER_RACK);
  const leastSpare = held.reduce((sum, members) => sum + 1 + Math.ceil(members / racks), 0);
  const changeMs = measureChange(simulated);
  return {
    fleet: shape.name,
    days: Math.round(days * 10) / 10,
    spareHeld: held.reduce((sum, one) => sum + one, 0) - need,
    spareLowerBound: leastSpare,
    firstAssigns,
    firstAssignsLowerBound: pools.reduce((sum, pool) => sum + pool.need + pool.headroom, 0),
    moves: costs.moves,
    maintainedPerDay: Math.round((costs.maintained / days) * 10) / 10,
    requiredPerDay:
      Math.round((held.reduce((sum, one) => sum + one, 0) / shape.periodDays) * 10) / 10,
    firstPlanMs: Math.round(firstPlanMs * 10) / 10,
    longestPlanMs: Math.round(costs.longestPlanMs * 10) / 10,
    longestStretchMs: Math.round(costs.longestStretchMs * 10) / 10,
    meanStepMs: Math.round(((performance.now() - begin) / (costs.plans || 1)) * 10) / 10,
    foldUsPerRecord: Math.round((costs.foldMs / costs.records) * 1e4) / 10,
    foldUsPerHost: Math.round((costs.foldMs / costs.recordHosts) * 1e4) / 10,
    changeUs: Math.round(changeMs * 1e3),
    rejected: costs.rejected,
    heapMb: Math.round(process.memoryUsage().heapUsed / 2 ** 20),
    rssMb: Math.round(process.memoryUsage().rss / 2 ** 20),
  };
}

const only = process.argv[3];
const results = SHAPES.filter((shape) => only === undefined || String(shape.hosts) === only).map(
  measureFleet,
);
console.log(JSON.stringify(results));
console.table(Object.fromEntries(results.map(({ fleet, ...rest }) => [fleet, rest])));
