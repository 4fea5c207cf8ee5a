import { wait } from '../standin-2/Platform.mjs';
import { runCase } from '../standin-2/runCase.mjs';
import { HOST, QUEUE, openNodes, openSite } from '../standin-2/site.mjs';

const ID = '5c0e7a21d94b36f8';
const CANCEL_MS = 3_000;
const LATE_MS = 4_000;
/** Clients leave within half the latency objective, 300 ms. */
const LEAVE_MS = 100;

await runCase(import.meta.dirname, async ({ platform, fleet, isTroubled }) => {
  await openSite(platform);
  await openNodes(fleet);
  await wait(2_000);
  const steps = [{ count: 2, cpu: 1_000, memMb: 256, longRunning: true }];
  platform.addSizes(ID, steps);
  // One write is executed late and not answered: the first one that contains the job.
  let lost = 0;
  const loseAppend = (node, _url, body) => {
    if (!isTroubled || lost > 0 || !body.includes(`job/${ID}`)) return undefined;
    lost += 1;
    platform.record('write-lost', { node, lateMs: LATE_MS });
    return LATE_MS;
  };
  Object.assign(platform.hooks, { loseAppend });
  const job = { path: QUEUE + ID, host: HOST };
  const body = { taskSpec: 'text', steps };
  await fleet.call('b1', { ...job, method: 'POST', body, leaveMs: LEAVE_MS });
  const { status } = await fleet.call('b1', { ...job, method: 'DELETE' });
  if (status !== 200 && status !== 410) throw new Error(`the cancel was answered ${status}`);
  const cancelledAt = platform.nowMs;
  await wait(9_000);
  // A task that lasts may fail at any time.
  platform.workers.forEach((worker) =>
    [...worker.running.keys()].forEach((key) => worker.fail(key)),
  );
  await wait(6_000);
  await fleet.call('c1', { ...job, method: 'GET' });
  return platform.events
    .filter(({ kind, atMs }) => kind === 'start' && atMs > cancelledAt + CANCEL_MS)
    .map(
      ({ atMs, task, runId }) =>
        `UNASKED: ${task} run ${runId} started ${atMs - cancelledAt} ms after the cancel was answered ${status}`,
    );
});
