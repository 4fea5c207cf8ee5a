import { buildDeployment, countRuns, describeJob, submitJob } from '../standin-3/deployment.js';
import { runCase, waitFor } from '../standin-3/Site.js';
import { waitMs } from '../standin-3/StoreServer.js';

/** Tasks of each occurrence of the large job; the product accepts 10,000 in a step. */
const COUNT = 1_500;
const USUAL_COUNT = 15;
const OCCURRENCES = 10;
const INTERVAL_MS = 1_000;
const LARGE_WORK_MS = 100_000;
const ROUNDS = 6;
/** Time after the end of the traffic at which jobs are asked for: `finish_s`. */
const FINISH_MS = 14_000;
/** Time for which a job has nothing running, and the calm time before. */
const IDLE_MS = 7_000;
const LARGE_ID = 'b'.repeat(16);
const USUAL_JOB = {
  steps: [
    { count: 4, cpu: 1_000, memMb: 100, estRuntimeMs: 500 },
    { count: 4, cpu: 1_000, memMb: 100, estRuntimeMs: 500, after: [0] },
  ],
  work: 500,
};
const USUAL_TASKS = 8;

/** Counts the tasks that run on the workers. */
function countRunning(site) {
  return [...site.machines.values()].reduce((sum, { worker }) => sum + worker.runs.length, 0);
}

/** Checks whether a job has started nothing for some time and has tasks left. */
function isIdle(site, id) {
  if (countRuns(site, id, 'done') >= USUAL_TASKS) return false;
  const last = site.runs.filter(({ task }) => task.startsWith(`${id}.`)).at(-1);
  return last === undefined || (last.what !== 'started' && site.nowMs - last.atMs > IDLE_MS);
}

await runCase(import.meta.dirname, async (site, hasTrouble) => {
  await site.open(buildDeployment({ nodes: 3, machines: 4 }));
  await waitFor('owner', 10_000, () => site.findOwner() !== undefined);
  let refusedCount = 0;
  site.store.setAppendListener(({ query, bytes, status }) => {
    if (status !== 400) return;
    refusedCount += 1;
    if (refusedCount === 1) site.record(`append of ${query.get('producer')}, ${bytes} bytes: 400`);
  });
  const count = hasTrouble ? COUNT : USUAL_COUNT;
  const large = {
    steps: [{ count, cpu: 5, memMb: 1, estRuntimeMs: LARGE_WORK_MS }],
    work: LARGE_WORK_MS,
    repeat: { repeatCount: OCCURRENCES, startAtMs: Date.now() + 500, intervalMs: INTERVAL_MS },
  };
  if ((await submitJob(site, site.nodes[0], LARGE_ID, large)) !== 200)
    throw new Error('the large job was not accepted');
  await waitMs(OCCURRENCES * INTERVAL_MS + 2_000);
  site.record(`${countRunning(site)} tasks of the large job run`);
  const accepted = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const [index, node] of site.nodes.entries()) {
      const id = `${round}${index}`.repeat(8);
      if ((await submitJob(site, node, id, USUAL_JOB)) === 200) accepted.push({ id, node });
    }
    await waitMs(700);
  }
  if (accepted.length === 0) throw new Error('no usual job was accepted');
  site.record('end of the traffic');
  await waitMs(FINISH_MS);
  const idle = accepted.filter(({ id }) => isIdle(site, id));
  site.record(
    `${countRunning(site)} tasks of 5 thousandths of a core run on 4 workers of 64 cores each`,
  );
  site.record(`${refusedCount} appends of more than recordBytes were refused`);
  const states = [];
  for (const { id, node } of accepted) {
    const state = await describeJob(site, id);
    states.push(state);
    const [started, done] = ['started', 'done'].map((event) => countRuns(site, id, event));
    site.record(`${id}, accepted by ${node.name}: ${state}, ${started} starts, ${done} ends`);
  }
  const uncompleted = states.filter((state) => state !== 'completed').length;
  site.record(`${uncompleted} of ${accepted.length} usual jobs are not shown as completed`);
  return idle.map(
    ({ id, node }) =>
      `LOST: ${id}, accepted by ${node.name}, has had nothing running for ${IDLE_MS} ms, ` +
      `${countRuns(site, id, 'started')} of ${USUAL_TASKS} tasks have started`,
  );
});
