import { LANDE_PROD } from '../standin/landeProd.mjs';
import { wait } from '../standin/Site.mjs';
import { runCase } from '../standin/runCase.mjs';

/** Length of the cut in ms. */
const CUT_MS = 5_500;
/** What the rule MIXED allows, in ms: `visible_ms` and 2 s; and the time after it of the questions. */
const VISIBLE_MS = 3_000 + 2_000;
const MARGIN_MS = 150;
const RUN_MS = 500;
const LONG_RUN_MS = 20_000;
const SETTLE_MS = 2_000;
const JOBS = 4;

/** A job that fills seven of the eight workers. */
const LONG_JOB = {
  taskSpec: 'audit',
  steps: [{ count: 7, cpu: 64_000, memMb: 6_500, estRuntimeMs: LONG_RUN_MS, antiAffinity: 1 }],
};
const SMALL_JOB = {
  taskSpec: 'match',
  steps: [{ count: 2, cpu: 3_500, memMb: 6_500, estRuntimeMs: RUN_MS }],
};

async function runEvents(site, hasTrouble) {
  await site.submit('00000000000000ff', LONG_JOB, { run: () => LONG_RUN_MS });
  await wait(SETTLE_MS);
  const worker = site.workers.find(({ runningCount }) => runningCount === 0);
  const cutAt = performance.now();
  if (hasTrouble) {
    site.record(`${worker.id}: cut off from the system`);
    worker.pause();
  }
  const ids = Array.from({ length: JOBS }, (_, index) => `000000000000000${index + 1}`);
  // Four clients send a job each, at the same time.
  const submitted = await Promise.all(
    ids.map((id) => site.submit(id, SMALL_JOB, { run: () => RUN_MS })),
  );
  const accepted = ids.filter((_id, index) => submitted[index].status === 200);
  await wait(VISIBLE_MS + MARGIN_MS);
  const begun = new Set(
    site.runs.filter(({ type }) => type === 'start').map(({ run }) => run.task.split('.')[0]),
  );
  const notBegun = accepted.filter((id) => !begun.has(id)).length;
  const answers = [];
  for (const node of site.nodes) {
    const { status, text } = await site.call('GET', '', { node });
    site.record(`client: GET of the queue from node ${node}: ${status} ${text}`);
    if (status === 200) answers.push(JSON.parse(text).waiting);
  }
  if (hasTrouble) {
    await wait(cutAt + CUT_MS - performance.now());
    worker.restore();
    site.record(`${worker.id}: reachable again`);
  }
  site.record(`${notBegun} of ${accepted.length} accepted jobs have not begun`);
  const wrong = answers.filter((waiting) => waiting < notBegun / 2).length;
  return {
    hasRun: accepted.length === JOBS && answers.length === site.nodes.length,
    isBroken: wrong > 0,
    verdict:
      wrong > 0
        ? `MIXED is broken by ${wrong} answers: ${answers.join(', ')} waiting, but ${notBegun} jobs have not begun`
        : 'MIXED held',
  };
}

await runCase({ folder: import.meta.dirname, layout: LANDE_PROD }, runEvents);
