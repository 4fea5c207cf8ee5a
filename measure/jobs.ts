/**
 * Measures jobs on the emulated platform: `npm run measure -- jobs [JOBS]`. Reports the accepted
 * jobs per second, the latency of a submission, the time until all runs have started, and the time
 * of planning rounds for several fleet sizes.
 *
 * @module
 */
import { Metrics } from '../src/metrics/mod.js';
import { NodeCluster } from '../src/emulator/mod.js';
import { waitFor } from '../src/testing/mod.js';
import { ScheduleRig, buildTrackedJob } from '../src/testing/ScheduleRig.js';
import { formatFigure } from './measureStep.js';

const jobs = Number(process.argv[3] ?? 1_000);
/** Number of concurrent submissions. */
const CALLERS = 16;
const MACHINES = 40;
const RUN_MS = 50;
/** Numbers of hosts for which planning rounds are timed. */
const FLEET_SIZES = [40, 250, 1_000];
const WAITING_JOBS = 200;

async function measureSubmissions(): Promise<void> {
  const cluster = new NodeCluster({
    nodes: 3,
    machines: MACHINES,
    script: () => ({ runMs: RUN_MS, outcome: 'done' }),
  });
  try {
    await waitFor('ready nodes', () =>
      cluster.names.every((name) => cluster.get(name)?.isReady === true),
    );
    const metrics = new Metrics();
    const begin = performance.now();
    let next = 0;
    const runCaller = async (): Promise<void> => {
      while (next < jobs) {
        const number = next;
        next += 1;
        const from = performance.now();
        const id = number.toString(16).padStart(16, '0');
        const node = cluster.names[number % cluster.names.length] ?? '';
        const { type } = await cluster.submit(node, id, [{ count: 2, cpuMilli: 500 }]);
        if (type === 'accepted') metrics.recordLatency('submit', performance.now() - from);
      }
    };
    await Promise.all(Array.from({ length: CALLERS }, runCaller));
    const seconds = (performance.now() - begin) / 1_000;
    const submit = metrics.export().latencies.submit ?? { count: 0, p50: 0, p99: 0 };
    await waitFor('all runs', () => cluster.fleet.started.length >= 2 * submit.count, 60_000);
    console.log(
      JSON.stringify({
        run: 'submissions',
        accepted: submit.count,
        perSecond: formatFigure(submit.count / seconds),
        p50Ms: formatFigure(submit.p50),
        p99Ms: formatFigure(submit.p99),
        allStartedAfterS: formatFigure((performance.now() - begin) / 1_000),
      }),
    );
  } finally {
    cluster.close();
  }
}

function measurePlans(): void {
  FLEET_SIZES.forEach((hosts) => {
    const rig = new ScheduleRig();
    for (let index = 0; index < hosts; index += 1) rig.addHost(`h${index}`);
    for (let index = 0; index < WAITING_JOBS; index += 1) {
      rig.shard.addJob(buildTrackedJob(`j${index}`, [{ count: 10, cpuMilli: 1_000 }]));
    }
    const begin = performance.now();
    const starts = rig.startAll().length;
    const firstMs = performance.now() - begin;
    const nextBegin = performance.now();
    rig.plan();
    const nextMs = performance.now() - nextBegin;
    console.log(
      JSON.stringify({
        run: 'plan',
        hosts,
        starts,
        firstMs: formatFigure(firstMs),
        nextMs: formatFigure(nextMs),
      }),
    );
  });
}

await measureSubmissions();
measurePlans();
// The connection pools of the callers keep the process alive.
process.exitCode = 0;
