/**
 * Measures the slopes that `docs/CAPACITY.md` uses: the growth of costs with hosts (in this process)
 * and with nodes and changes per second (in child processes). `npm run measure -- slopes` takes about
 * 80 s.
 *
 * @module
 */
import {
  CheckpointCollector,
  collectSlices,
  encodeCheckpoint,
  Fleet,
  parseSnapshot,
} from '../src/mod.js';
import { HostFailureDetector, type KnownHost } from '../src/host/mod.js';
import { ConfigChange } from '../src/record/mod.js';
import { measureStep } from './measureStep.js';
import { NodeGroup, pause } from './NodeGroup.js';
import { SimulatedFleet } from './SimulatedFleet.js';

const HOSTS = [1_000, 5_000, 19_000];
const NODES = [2, 7, 21];
const CHANGES_A_SECOND = [2, 10];
const WARM_UP_MS = 6_000;
const WINDOW_SECONDS = 10;
const REPEATS = 200;
const COMPARES = 5;

function measureMicroseconds(repeats: number, run: (index: number) => void): number {
  const begin = process.cpuUsage();
  for (let index = 0; index < repeats; index += 1) run(index);
  const { user, system } = process.cpuUsage(begin);
  return Math.round((user + system) / repeats);
}

function measureApply(simulated: SimulatedFleet) {
  const { fleet } = simulated;
  const host = fleet.data.configuration.host.get('h0')?.object;
  const operations = [{ action: 'put', kind: 'host', object: host }];
  const changeUs = measureMicroseconds(REPEATS, (index) => {
    const head = { changeId: `m${index}`, baseRevision: fleet.revision, part: 1, parts: 1 };
    simulated.append(ConfigChange.parse({ type: 'config-change', ...head, operations }));
  });
  const observationUs = measureMicroseconds(REPEATS, (index) => {
    const status = index % 2 === 0 ? ('failed' as const) : ('live' as const);
    const observations = [{ host: `h${Math.floor(index / 2)}`, status }];
    simulated.append({ type: 'host-observed', observations });
  });
  return { changeUs, observationUs };
}

function measureCompare(fleet: Fleet) {
  const failureDetector = new HostFailureDetector();
  const known: KnownHost[] = [...fleet.data.configuration.host].map(([host, { object }]) => ({
    host,
    dataCentre: object.dataCentre,
    status: 'live',
    isInMaintenance: false,
    isAway: false,
    isFaulty: false,
  }));
  const list = known.map(({ host }) => ({ host, state: 'live' as const }));
  const compareUs = measureMicroseconds(COMPARES, (index) => {
    failureDetector.apply(known, { list, now: index * 5_000 });
  });
  return { compareMs: compareUs / 1_000 };
}

async function measureHosts(hosts: number) {
  const shape = { name: String(hosts), hosts, pools: 27, dataCentres: 21, periodDays: 49 };
  const simulated = new SimulatedFleet(shape);
  while (simulated.plan() > 0);
  const { fleet, statistics } = simulated;
  statistics.longestPlanMs = 0;
  statistics.longestBlockMs = 0;
  const planUs = measureMicroseconds(5, () => simulated.plan());
  const text = await measureStep(() => collectSlices(fleet.snapshotSlices()));
  const options = { checkpoint: 'c', offset: fleet.nextOffset };
  const encode = await measureStep(() => encodeCheckpoint(text.result, options));
  const collector = new CheckpointCollector();
  encode.result.forEach((value, offset) => collector.add({ offset, time: 0, value }));
  const decode = await measureStep(() => collector.restore());
  const parse = await measureStep(() => parseSnapshot(decode.result));
  const restore = await measureStep(() => Fleet.restore(parse.result, { isOwned: true }));
  if (restore.result.hash() !== fleet.hash()) throw new Error('the restored state differs');
  const steps = Object.entries({ text, encode, decode, parse, restore });
  console.log(
    JSON.stringify({
      slope: 'hosts',
      hosts,
      snapshotBytes: text.result.length,
      checkpointBytes: encode.result.reduce((sum, value) => sum + value.length, 0),
      planMs: planUs / 1_000,
      longestPlanStretchMs: Math.round(statistics.longestBlockMs),
      ...measureApply(simulated),
      ...measureCompare(fleet),
      stretchMs: Object.fromEntries(steps.map(([name, { longestMs }]) => [name, longestMs])),
    }),
  );
}

for (const hosts of HOSTS) await measureHosts(hosts);
const group = new NodeGroup();
try {
  await group.open(0);
  for (const nodes of NODES) {
    await group.addNodes(nodes - group.controllers.length);
    await pause(WARM_UP_MS);
    const idle = await group.measure(() => pause(WINDOW_SECONDS * 1_000));
    console.log(JSON.stringify({ slope: 'nodes', nodes, ...idle }));
  }
  for (const changesASecond of CHANGES_A_SECOND) {
    const head = await group.readHead();
    const busy = await group.measure(() => group.submitChanges(changesASecond, WINDOW_SECONDS));
    const recordsASecond = ((await group.readHead()) - head) / WINDOW_SECONDS;
    console.log(JSON.stringify({ slope: 'changes', changesASecond, recordsASecond, ...busy }));
  }
} finally {
  await group.close();
}
