import { buildDeployment, countRuns, describeJob, submitJob } from '../standin-3/deployment.js';
import { runCase, waitFor } from '../standin-3/Site.js';
import { waitMs } from '../standin-3/StoreServer.js';

const MACHINES = 8;
const VALIDITY_MS = 3_000;
const POLICY = { decisionMs: 700, periodMs: 250, validityMs: VALIDITY_MS };
const FAST_POLICY = { decisionMs: 20, periodMs: 5, validityMs: VALIDITY_MS };
/** Workers a step for which the users' objective counts one call for advice. */
const COUNTED_WORKERS = 30;
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const JOB = { steps: [{ count: 4, cpu: 1_000, memMb: 100, estRuntimeMs: 500 }], work: 500 };

await runCase(import.meta.dirname, async (site, hasTrouble) => {
  const advicePolicy = hasTrouble ? POLICY : FAST_POLICY;
  await site.open(buildDeployment({ nodes: 3, machines: MACHINES, advicePolicy }));
  await waitFor('owner', 10_000, () => site.findOwner() !== undefined);
  await waitMs(1_000);
  const { decisionMs, periodMs } = advicePolicy;
  site.record(
    `advice on ${MACHINES} workers takes ${decisionMs + MACHINES * periodMs} ms, ` +
      `on ${COUNTED_WORKERS} workers ${decisionMs + COUNTED_WORKERS * periodMs} ms`,
  );
  const ids = [];
  for (const [index, node] of site.nodes.entries()) {
    const id = String(index + 1).repeat(16);
    if ((await submitJob(site, node, id, JOB)) === 200) ids.push(id);
  }
  if (ids.length === 0) throw new Error('no job was accepted');
  await waitMs(FINISH_MS + IDLE_MS);
  const findings = [];
  for (const id of ids) {
    const state = await describeJob(site, id);
    const started = countRuns(site, id, 'started');
    site.record(`${id}: ${state}, ${started} starts`);
    if (started === 0)
      findings.push(`LOST: no task of ${id} has started, and all ${MACHINES} workers are idle`);
  }
  return findings;
});
