import { buildDeployment, submitUntilAccepted } from '../standin-3/deployment.js';
import { runCase, waitFor } from '../standin-3/Site.js';
import { waitMs } from '../standin-3/StoreServer.js';

const JOBS = 4;
const TASKS = 5;
const MACHINES = 3;
/** Mean time in ms after which a run fails; with TROUBLE=0 none does. */
const FAILS_MS = 10_000;
const WATCH_MS = 85_000;
/** A task that lasts has to run from 6 s after its last run; it counts if it doesn't for 3 s. */
const LIMIT_MS = 9_000;

/** Finds the times in which a task had no run for longer than the limit. */
function findGaps(site, endMs) {
  const findings = [];
  const events = new Map();
  site.runs.forEach((event) => events.set(event.task, [...(events.get(event.task) ?? []), event]));
  events.forEach((list, task) => {
    list.forEach((event, index) => {
      if (event.what === 'started') return;
      const untilMs = list[index + 1]?.atMs ?? endMs;
      const gapMs = untilMs - event.atMs;
      if (gapMs > LIMIT_MS)
        findings.push(`LOST: ${task} has had no run for ${gapMs} ms after ${event.atMs} ms`);
    });
  });
  return findings;
}

await runCase(import.meta.dirname, async (site, hasTrouble) => {
  await site.open(buildDeployment({ nodes: 3, machines: MACHINES }));
  await waitFor('owner', 10_000, () => site.findOwner() !== undefined);
  for (let job = 0; job < JOBS; job += 1) {
    const step = {
      count: TASKS,
      cpu: 2_000,
      memMb: 1_000,
      estRuntimeMs: 1_000,
      longRunning: true,
    };
    const id = String(job).repeat(16);
    const taskSpec = hasTrouble ? `lasts fails=${FAILS_MS}` : 'lasts';
    if (!(await submitUntilAccepted(site, id, { steps: [step], taskSpec })))
      throw new Error('a job was not accepted');
  }
  await waitMs(WATCH_MS);
  const failed = site.runs.filter(({ what }) => what === 'failed').length;
  site.record(`${failed} runs have failed`);
  const running = [...site.machines.values()].map(
    ({ name, worker }) => `${name} ${worker.runs.length}`,
  );
  site.record(`runs on the workers: ${running.join(', ')}`);
  return findGaps(site, site.nowMs);
});
