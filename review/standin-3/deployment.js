import { callNode } from './Site.js';
import { waitMs } from './StoreServer.js';

/** Capacity of a worker, as in the example of the users' page on running tasks. */
export const CAPACITY = { cpu: 64_000, memMb: 131_072, gpu: 0 };

/** Builds the options of a site with one service, `render`, whose queue has the path `/render/`. */
export function buildDeployment({ nodes, machines, advicePolicy, route = {}, service = {} }) {
  return {
    nodes,
    advicePolicy,
    machines: Array.from({ length: machines }, () => ({ service: 'render', capacity: CAPACITY })),
    routes: [
      {
        name: 'r-render',
        host: 'jobs.example',
        pathPrefix: '/render/',
        kind: 'non_idempotent',
        timeoutMs: 3_000,
        targetLatencyMs: 600,
        service: 'render',
        maxAttempts: 3,
        stretch: 1.6,
        ...(advicePolicy === undefined ? {} : { advice: advicePolicy }),
        ...route,
      },
    ],
    services: [
      { name: 'render', healthPath: '/health', maxConns: 64, rejectsOverload: true, ...service },
    ],
  };
}

/** Sends a job to a node and returns the status of the answer. */
export async function submitJob(
  site,
  node,
  id,
  { steps, work, taskSpec = `work=${work}`, repeat = {} },
) {
  const body = { taskSpec, steps, ...repeat };
  const bytes = JSON.stringify(body).length;
  const { status } = await callNode(node, 'POST', { path: `/render/${id}`, body });
  const tasks = (repeat.repeatCount ?? 1) * steps.reduce((sum, { count }) => sum + count, 0);
  site.record(`POST ${id} at ${node.name}: ${tasks} tasks, body of ${bytes} bytes: ${status}`);
  return status;
}

/** Submits a job until a node accepts it, as a client does; returns whether one has accepted it. */
export async function submitUntilAccepted(site, id, job, limitMs = 10_000) {
  const until = performance.now() + limitMs;
  for (let attempt = 0; performance.now() < until; attempt += 1) {
    const node = site.nodes[attempt % site.nodes.length];
    if ((await submitJob(site, node, id, job)) === 200) return true;
    await waitMs(500);
  }
  return false;
}

/** Asks the nodes in turn for the state of a job; undefined if none of them answers. */
export async function describeJob(site, id) {
  for (const node of site.nodes) {
    const { status, body } = await callNode(node, 'GET', { path: `/render/${id}` });
    site.record(`GET ${id} at ${node.name}: ${status} ${body}`);
    if (status === 200) return JSON.parse(body).state;
  }
  return undefined;
}

/** Counts the runs of a job with an event, such as `started` or `done`. */
export function countRuns(site, id, event) {
  return site.runs.filter(({ what, task }) => what === event && task.startsWith(`${id}.`)).length;
}
