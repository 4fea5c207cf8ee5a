/**
 * Measures the path of a job on the emulated platform: `npm run measure -- jobs [JOBS]`. Accepted
 * jobs a second, latency of a submission, from the submission to the first start, and decisions at
 * several numbers of hosts.
 *
 * @module
 */
import { Metrics } from '../src/metrics/mod.js';
import { NodeCluster } from '../src/emulator/mod.js';
import { waitFor } from '../src/testing/mod.js';
import { ScheduleRig, buildTrackedJob } from '../src/testing/ScheduleRig.js';
import { formatFigure } from './measureStep.js';

const jobs = Number(process.argv[3] ?? 1_000);
/** Submissions under way at once. */
const CALLERS = 16;
const MACHINES = 40;
const RUN_MS = 50;
/** Sizes of the fleet for which one round of decisions is timed. */
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
    const call = async (): Promise<void> => {
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
    await Promise.all(Array.from({ length: CALLERS }, call));
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
    const fullMs = performance.now() - begin;
    const again = performance.now();
    rig.plan();
    const idleMs = performance.now() - again;
    console.log(
      JSON.stringify({
        run: 'plan',
        hosts,
        starts,
        firstMs: formatFigure(fullMs),
        nextMs: formatFigure(idleMs),
      }),
    );
  });
}

await measureSubmissions();
measurePlans();
// The callers' pools keep the process alive.
process.exitCode = 0;
