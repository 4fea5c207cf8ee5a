/**
 * Measures the time from the start of a controller process until it is ready, with sequential and
 * simultaneous restarts and with and without the platform: `npm run measure -- restart [HOSTS]`.
 *
 * @module
 */
import { createControllerClient } from '../src/controller/mod.js';
import { fetchObservation, ProcessMetrics, ProcessTimeline } from '../src/observation/mod.js';
import { waitFor, type StartedProcess } from '../src/testing/mod.js';
import { NodeGroup } from './NodeGroup.js';

const hosts = Number(process.argv[3] ?? 19_000);
const nodes = new NodeGroup();

async function startUntilReady(
  revision: number,
  begin: number,
): Promise<{ ms: number; controller: StartedProcess }> {
  const controller = await nodes.startController();
  const client = createControllerClient(controller.address);
  await waitFor('the new controller', async () => {
    const status = await client.status.query();
    return status.readiness !== 'not-ready' && status.revision >= revision;
  });
  return { ms: Math.round(performance.now() - begin), controller };
}

async function report(
  run: string,
  started: { ms: number; controller: StartedProcess }[],
): Promise<void> {
  const longestBlocksMs = await Promise.all(
    started.map(async ({ controller }) => {
      const observation = { path: 'metrics', schema: ProcessMetrics } as const;
      const { gauges } = await fetchObservation(controller.address, observation);
      return Math.round(gauges.eventLoopDelayMaxMs);
    }),
  );
  const readyMs = started.map(({ ms }) => ms);
  console.log(JSON.stringify({ run, hosts, readyMs, longestStretchMs: longestBlocksMs }));
}

async function stopAll(started: StartedProcess[]): Promise<void> {
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
      const observation = { path: 'timeline', schema: ProcessTimeline } as const;
      const { events } = await fetchObservation(address, observation);
      return events.some((controller) => controller.type === 'checkpoint.verified');
    },
    30_000,
  );
  const { revision } = await nodes.createClient(0).status.query();
  const old = nodes.controllers.splice(0);
  const replacements: { ms: number; controller: StartedProcess }[] = [];
  for (const controller of old) {
    replacements.push(await startUntilReady(revision, performance.now()));
    await stopAll([controller]);
  }
  await report('one after another', replacements);
  await nodes.inject({ down: true });
  await report('platform down, from a peer', [await startUntilReady(revision, performance.now())]);
  await nodes.inject({});
  await stopAll(nodes.controllers.splice(0));
  const begin = performance.now();
  const all = await Promise.all([
    startUntilReady(revision, begin),
    startUntilReady(revision, begin),
  ]);
  await report('all at once', all);
  await nodes.inject({ down: true });
  await stopAll(nodes.controllers.splice(0));
  const lastController = await nodes.startController();
  const { readiness } = await createControllerClient(lastController.address).status.query();
  console.log(JSON.stringify({ run: 'all at once, platform down', hosts, readiness }));
} finally {
  await nodes.close();
}
