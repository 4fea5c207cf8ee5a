import { LANDE_PROD } from '../standin/landeProd.mjs';
import { wait } from '../standin/Site.mjs';
import { runCase } from '../standin/runCase.mjs';
import { listTwice } from '../standin/check.mjs';

/** Time in ms that the worker needs to start again, and the length of its cut from the store. */
const RESTART_MS = 800;
const CUT_MS = 4_000;
/** When the job comes after the restart, in ms. */
const JOB_DELAY_MS = 500;
/** Time in ms that the job has for its end. */
const END_MS = 10_000;
const RUN_MS = 2_500;

/** A job with tasks for seven of the eight workers. */
const JOB = {
  taskSpec: 'match',
  steps: [{ count: 7, cpu: 3_500, memMb: 6_500, estRuntimeMs: RUN_MS, antiAffinity: 1 }],
};

async function runEvents(site, hasTrouble) {
  const [worker] = site.workers;
  if (hasTrouble) {
    site.record(`${worker.id}: cut off from the store; it crashes and starts again`);
    worker.crash();
  }
  await wait(RESTART_MS);
  if (hasTrouble) {
    await worker.start({ registersAfterMs: CUT_MS - RESTART_MS });
    site.record(`${worker.id}: up again under its id, born ${worker.born}`);
  }
  await wait(JOB_DELAY_MS);
  const { status } = await site.submit('0000000000000001', JOB, { run: () => RUN_MS });
  await wait(END_MS);
  const found = listTwice(site.runs);
  found.forEach((line) => site.record(`TWICE: ${line}`));
  return {
    hasRun: status === 200,
    isBroken: found.length > 0,
    verdict: found.length > 0 ? `TWICE is broken by ${found.length} starts` : 'TWICE held',
  };
}

await runCase({ folder: import.meta.dirname, layout: LANDE_PROD }, runEvents);
