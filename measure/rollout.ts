/**
 * Measures the time until a change has reached every controller and follower, at a steady rate and
 * in a burst, and the network and CPU usage of controllers.
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import { fetchObservation, ProcessTimeline } from '../src/observation/mod.js';
import {
  ActorScope,
  ControllerRecordSource,
  createControllerClient,
  FleetFollower,
  FleetReplica,
} from '../src/mod.js';
import { buildInventory, ProcessGroup, waitFor, type StartedProcess } from '../src/testing/mod.js';
import { ApplyTimes } from './ApplyTimes.js';

const NODES = 7;
const FEW_NODES = 3;
const HOSTS = 5_000;
/** 20 times the rate of 61,000 changes per day, which is 0.7 per second. */
const CHANGES_A_SECOND = 14;
const STEADY_SECONDS = 12;
const IDLE_MS = 6_000;
const BURST = 500;
const CLOCK_TICKS_A_SECOND = 100;

interface ProcessUsage {
  bytes: number;
  ticks: number;
  at: number;
}

/** Reads the CPU time of a process and the bytes that it read and wrote, including log lines. */
function readUsage({ child }: StartedProcess): ProcessUsage {
  const io = readFileSync(`/proc/${child.pid}/io`, 'utf8');
  const [read, written] = ['rchar', 'wchar'].map((key) =>
    Number(new RegExp(`${key}: (\\d+)`).exec(io)?.[1]),
  );
  const stat = readFileSync(`/proc/${child.pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return {
    bytes: (read ?? 0) + (written ?? 0),
    ticks: Number(stat[11]) + Number(stat[12]),
    at: Date.now(),
  };
}

async function measureUsage(processes: StartedProcess[], run: () => Promise<unknown>) {
  const before = processes.map(readUsage);
  await run();
  const usages = processes.map((one, index) => {
    const now = readUsage(one);
    const previous = before[index] ?? now;
    const seconds = (now.at - previous.at) / 1_000;
    const corePercent = ((now.ticks - previous.ticks) / CLOCK_TICKS_A_SECOND / seconds) * 100;
    return { bytesASecond: (now.bytes - previous.bytes) / seconds, corePercent };
  });
  const average = (values: number[]): number =>
    Number((values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(2));
  return {
    bytesASecond: Math.round(average(usages.map((one) => one.bytesASecond))),
    corePercent: average(usages.map((one) => one.corePercent)),
  };
}

function describeTimes(times: number[]) {
  const sorted = [...times].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  return { count: sorted.length, p50Ms: at(0.5), p99Ms: at(0.99), worstMs: sorted.at(-1) };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

const group = new ProcessGroup();
const scope = new ActorScope('measure', (actor, error) => console.error(actor, error));
const platform = await group.startStandin('platform');
const controllers: StartedProcess[] = [];

async function startControllers(count: number): Promise<void> {
  while (controllers.length < count) {
    const started = await group.startDaemon({
      role: 'controller',
      dataCentre: 'd1',
      address: '127.0.0.1:0',
      platform: `http://${platform.address}`,
      peers: controllers.slice(0, 2).map((one) => one.address),
    });
    controllers.push(started);
  }
  const client = createControllerClient(controllers[0]?.address ?? '');
  await waitFor('all sessions', async () => {
    const { processes } = await client.rollout.query();
    return processes.length === count;
  });
}

async function readHead(): Promise<number> {
  const answer = await request(`http://${platform.address}/streams/fleet/entries?from=0&max=1`);
  return ((await answer.body.json()) as { head: number }).head;
}

function submit(index: number) {
  const address = controllers[index % controllers.length]?.address ?? '';
  const name = `p${index}`;
  return createControllerClient(address).change.mutate({
    baseRevision: 0,
    operations: [{ action: 'put', kind: 'team', object: { name, quota: 1 } }],
    operator: 'measure',
  });
}

async function runChanges(from: number, count: number, intervalMs: number) {
  const sent: { at: number; offset: number }[] = [];
  const pending: Promise<unknown>[] = [];
  const refused: number[] = [];
  for (let index = from; index < from + count; index += 1) {
    const at = Date.now();
    pending.push(
      submit(index).then((answer) => {
        if (answer.verdict.outcome === 'accepted') sent.push({ at, offset: answer.offset });
        else refused.push(index);
      }),
    );
    if (intervalMs > 0) await pause(intervalMs);
  }
  await Promise.all(pending);
  return { sent, refused: refused.length };
}

try {
  await startControllers(FEW_NODES);
  await pause(IDLE_MS);
  const fewIdle = await measureUsage(controllers, () => pause(IDLE_MS));
  await startControllers(NODES);
  // New controllers first fetch snapshots and probe their peers, which is not part of the idle usage.
  await pause(IDLE_MS);
  const idle = await measureUsage(controllers, () => pause(IDLE_MS));
  const followers = controllers.map(({ address }) => {
    const replica = new FleetReplica(scope);
    const times = new ApplyTimes();
    replica.send({ type: 'subscribe', projector: times });
    const follower = new FleetFollower(scope, replica, [new ControllerRecordSource(address)]);
    follower.start();
    return { follower, times };
  });
  const measureDelays = async (sent: { at: number; offset: number }[]): Promise<number[]> => {
    const logs = await Promise.all(
      controllers.map(({ address }) =>
        fetchObservation(address, { path: 'timeline', schema: ProcessTimeline }),
      ),
    );
    return sent.map(({ at, offset }) => {
      const controllerTimes = logs.map(
        (log) =>
          log.events.find((one) => one.type === 'config-change.accepted' && one.offset === offset)
            ?.wall ?? Number.POSITIVE_INFINITY,
      );
      const followerTimes = followers.map(({ times }) => times.find(offset));
      return Math.round(Math.max(...controllerTimes, ...followerTimes) - at);
    });
  };
  let steady: Awaited<ReturnType<typeof runChanges>> = { sent: [], refused: 0 };
  const count = CHANGES_A_SECOND * STEADY_SECONDS;
  const loaded = await measureUsage(controllers, async () => {
    steady = await runChanges(0, count, 1_000 / CHANGES_A_SECOND);
  });
  console.log(
    JSON.stringify({
      run: 'steady',
      refused: steady.refused,
      ...describeTimes(await measureDelays(steady.sent)),
    }),
  );
  const headBefore = await readHead();
  const begin = Date.now();
  const burst = await runChanges(count, BURST, 0);
  const seconds = (Date.now() - begin) / 1_000;
  await waitFor('the followers', () => {
    const last = Math.max(...burst.sent.map((one) => one.offset));
    return followers.every(({ times }) => Number.isFinite(times.find(last)));
  });
  const records = (await readHead()) - headBefore;
  console.log(
    JSON.stringify({
      run: 'burst',
      refused: burst.refused,
      ...describeTimes(await measureDelays(burst.sent)),
      recordsASecond: Math.round(records / seconds),
    }),
  );
  const hosts = buildInventory(HOSTS, 1);
  await createControllerClient(controllers[0]?.address ?? '').change.mutate({
    baseRevision: 0,
    operations: hosts,
    operator: 'measure',
  });
  const listed = hosts.flatMap((one) =>
    one.kind === 'host' && one.action === 'put' ? [{ host: one.object.name, state: 'live' }] : [],
  );
  const body = JSON.stringify(listed);
  await (await request(`http://${platform.address}/hosts`, { method: 'PUT', body })).body.dump();
  await pause(IDLE_MS);
  const manyHosts = await measureUsage(controllers, () => pause(IDLE_MS));
  console.log(JSON.stringify({ run: 'idle', nodes: FEW_NODES, ...fewIdle }));
  console.log(JSON.stringify({ run: 'idle', nodes: NODES, ...idle }));
  console.log(JSON.stringify({ run: 'steady', changesASecond: CHANGES_A_SECOND, ...loaded }));
  console.log(JSON.stringify({ run: 'idle', hosts: HOSTS, ...manyHosts }));
  const addedNodes = NODES - FEW_NODES;
  console.log(
    JSON.stringify({
      bytesASecondPerNode: Math.round((idle.bytesASecond - fewIdle.bytesASecond) / addedNodes),
      bytesPerChange: Math.round((loaded.bytesASecond - idle.bytesASecond) / CHANGES_A_SECOND),
      bytesASecondPerHost: Number(
        ((manyHosts.bytesASecond - idle.bytesASecond) / HOSTS).toFixed(3),
      ),
    }),
  );
  await Promise.all(followers.map(({ follower }) => follower.close()));
} finally {
  await group.close();
  scope.close();
}
