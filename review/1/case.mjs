import { LANDE_PROD } from '../standin/landeProd.mjs';
import { wait } from '../standin/Site.mjs';
import { runCase } from '../standin/runCase.mjs';

/** Length of a cut, and the pause before the next one, in ms. */
const CUT_MS = 5_000;
const PAUSE_MS = 500;
/** When a job comes after the beginning of a cut, in ms. */
const JOB_DELAY_MS = 500;
/** Calm in ms after the last cut: `contactMs`, the 4 s of the rule and a second more. */
const CALM_MS = 8_000;
/** What the rule LOST allows, in ms: `finish_s` after the traffic, and 3 s without a run. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const RUN_MS = 500;

/** A job with a task for each worker. */
const SPREAD_JOB = {
  taskSpec: 'match',
  steps: [{ count: 8, cpu: 3_500, memMb: 6_500, estRuntimeMs: RUN_MS, antiAffinity: 1 }],
};
/** A job that any worker has room for. */
const SMALL_JOB = {
  taskSpec: 'match',
  steps: [{ count: 2, cpu: 3_500, memMb: 6_500, estRuntimeMs: RUN_MS }],
};
const LAST_ID = '00000000000000ff';

async function runEvents(site, hasTrouble) {
  let number = 0;
  // Each worker is cut off once, one at a time; a job comes during each cut.
  for (const worker of site.workers) {
    if (hasTrouble) {
      site.record(`${worker.id}: cut off from the system`);
      worker.cut();
    }
    await wait(JOB_DELAY_MS);
    number += 1;
    await site.submit(`000000000000000${number}`, SPREAD_JOB, { run: () => RUN_MS });
    await wait(CUT_MS - JOB_DELAY_MS);
    if (hasTrouble) {
      await worker.openPort();
      site.record(`${worker.id}: reachable again`);
    }
    await wait(PAUSE_MS);
  }
  await wait(CALM_MS);
  const { status } = await site.submit(LAST_ID, SMALL_JOB, { run: () => RUN_MS });
  await wait(FINISH_MS + IDLE_MS);
  const { text } = await site.call('GET', LAST_ID, {});
  const starts = site.runs.filter(
    ({ type, run: { task } }) => type === 'start' && task.startsWith(LAST_ID),
  ).length;
  const up = site.workers.filter(({ isUp }) => isUp).length;
  const busy = site.workers.filter(({ runningCount }) => runningCount > 0).length;
  site.record(`client: GET ${LAST_ID}: ${text}; ${starts} starts`);
  const isBroken = starts === 0;
  return {
    hasRun: status === 200,
    isBroken,
    verdict: isBroken
      ? `LOST is broken: no start of an accepted job within 17 s; ${up} of 8 workers are up and reachable, ${busy} have work`
      : 'LOST held',
  };
}

await runCase({ folder: import.meta.dirname, layout: LANDE_PROD }, runEvents);
