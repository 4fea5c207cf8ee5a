/**
 * Measures how long new controllers take to be ready, from the start of the process:
 * `npm run measure -- restart [HOSTS]`. One after another and all at once, with and without the
 * platform.
 *
 * @module
 */
import { createControllerClient } from '../src/controller/mod.js';
import { fetchObservation, ProcessMetrics, ProcessTimeline } from '../src/observation/mod.js';
import { waitFor, type Started } from '../src/testing/mod.js';
import { NodeGroup } from './NodeGroup.js';

const hosts = Number(process.argv[3] ?? 19_000);
const nodes = new NodeGroup();

async function readReady(revision: number, begin: number): Promise<{ ms: number; one: Started }> {
  const one = await nodes.startController();
  const client = createControllerClient(one.address);
  await waitFor('the new controller', async () => {
    const status = await client.status.query();
    return status.readiness !== 'not-ready' && status.revision >= revision;
  });
  return { ms: Math.round(performance.now() - begin), one };
}

async function report(run: string, started: { ms: number; one: Started }[]): Promise<void> {
  const loops = await Promise.all(
    started.map(async ({ one }) => {
      const what = { path: 'metrics', schema: ProcessMetrics } as const;
      const { gauges } = await fetchObservation(one.address, what);
      return Math.round(gauges.eventLoopDelayMaxMs);
    }),
  );
  const readyMs = started.map(({ ms }) => ms);
  console.log(JSON.stringify({ run, hosts, readyMs, longestStretchMs: loops }));
}

async function stopAll(started: Started[]): Promise<void> {
  await Promise.all(
    started.map(
      ({ child }) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
          child.kill('SIGKILL');
        }),
    ),
  );
}

try {
  await nodes.openControllers(2);
  await nodes.loadHosts(hosts);
  await waitFor(
    'a checkpoint',
    async () => {
      const address = nodes.controllers[0]?.address ?? '';
      const what = { path: 'timeline', schema: ProcessTimeline } as const;
      const { events } = await fetchObservation(address, what);
      return events.some((one) => one.type === 'checkpoint.verified');
    },
    30_000,
  );
  const { revision } = await nodes.createClient(0).status.query();
  const old = nodes.controllers.splice(0);
  const replaced: { ms: number; one: Started }[] = [];
  for (const one of old) {
    replaced.push(await readReady(revision, performance.now()));
    await stopAll([one]);
  }
  await report('one after another', replaced);
  await nodes.inject({ down: true });
  await report('platform down, from a peer', [await readReady(revision, performance.now())]);
  await nodes.inject({});
  await stopAll(nodes.controllers.splice(0));
  const begin = performance.now();
  const all = await Promise.all([readReady(revision, begin), readReady(revision, begin)]);
  await report('all at once', all);
  await nodes.inject({ down: true });
  await stopAll(nodes.controllers.splice(0));
  const lonely = await nodes.startController();
  const { readiness } = await createControllerClient(lonely.address).status.query();
  console.log(JSON.stringify({ run: 'all at once, platform down', hosts, readiness }));
} finally {
  await nodes.close();
}
