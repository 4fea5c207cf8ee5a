import {
  buildDeployment,
  countRuns,
  describeJob,
  submitUntilAccepted,
} from '../standin-3/deployment.js';
import { runCase, waitFor } from '../standin-3/Site.js';
import { waitMs } from '../standin-3/StoreServer.js';

const STEPS = 40;
/** Tasks of a step; the product accepts 10,000 at most. */
const COUNT = 10_000;
const USUAL_COUNT = 10;
/** How long the site is watched after the last job was accepted, with `finish_s` at the end. */
const WATCH_MS = 30_000;
const USUAL_JOB = {
  steps: [{ count: 4, cpu: 1_000, memMb: 100, estRuntimeMs: 500 }],
  work: 500,
};

/** Builds a job whose steps run one after the other. */
function buildChain(count) {
  return Array.from({ length: STEPS }, (_, step) => ({
    count,
    cpu: 1_000,
    memMb: 100,
    estRuntimeMs: 500,
    ...(step === 0 ? {} : { after: [step - 1] }),
  }));
}

await runCase(import.meta.dirname, async (site, hasTrouble) => {
  await site.open(buildDeployment({ nodes: 3, machines: 4 }));
  await waitFor('owner', 10_000, () => site.findOwner() !== undefined);
  const findings = [];
  if (!(await submitUntilAccepted(site, 'a'.repeat(16), USUAL_JOB))) throw new Error('no job');
  await waitMs(2_500);
  if ((await describeJob(site, 'a'.repeat(16))) !== 'completed') throw new Error('no work');
  const large = { steps: buildChain(hasTrouble ? COUNT : USUAL_COUNT), work: 500 };
  if (!(await submitUntilAccepted(site, 'b'.repeat(16), large))) throw new Error('no large job');
  await waitMs(500);
  const isAccepted = await submitUntilAccepted(site, 'c'.repeat(16), USUAL_JOB);
  await waitMs(WATCH_MS);
  await describeJob(site, 'c'.repeat(16));
  const started = countRuns(site, 'c'.repeat(16), 'started');
  site.record(`the usual job after the large one: accepted ${isAccepted}, ${started} starts`);
  if (isAccepted && started === 0)
    findings.push('LOST: no task of an accepted job has started, and all workers are idle');
  const ended = site.nodes.filter(({ ends }) => ends >= 3);
  site.nodes.forEach(({ name, ends }) => site.record(`${name} has ended by itself ${ends} times`));
  if (ended.length >= 2)
    findings.push(`Fault: ${ended.length} of 3 processes have ended by themselves three times`);
  return findings;
});
