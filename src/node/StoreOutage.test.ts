import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { NodeCluster } from '../emulator/NodeCluster.js';
import { JobSpec } from '../task/mod.js';
import { waitFor } from '../testing/waitFor.js';

const NODES = 6;
const OUTAGE_MS = 4_000;
/** Shorter than the outage, so that the appends of its first callers end before it does. */
const CALLER_DEADLINE_MS = 800;
/** Mean delay in ms of the first repeated appends of a record. */
const MIN_MEAN_DELAY_MS = 60;
const SUBMIT_INTERVAL_MS = 20;
const STEPS = [{ count: 1, cpuMilli: 1_000, estimateMs: 50 }];

async function withCluster(use: (cluster: NodeCluster) => Promise<void>): Promise<void> {
  const cluster = new NodeCluster({
    nodes: NODES,
    machines: 4,
    stopGraceMs: 6_000,
    script: () => ({ runMs: 40, outcome: 'done' }),
  });
  try {
    await waitFor('ready nodes', () =>
      cluster.names.every((name) => cluster.get(name)?.isReady === true),
    );
    await waitFor('an owner', () => cluster.findOwner());
    await use(cluster);
    assert.deepEqual(cluster.fleet.listOverlaps(), [], 'two concurrent runs of one task');
    assert.deepEqual(cluster.fleet.listRepeats(), [], 'a completed task was started again');
  } finally {
    cluster.close();
  }
}

/** Submits jobs to all nodes in turn for a time in ms; returns the outcomes by job. */
async function submitBurst(cluster: NodeCluster, forMs: number): Promise<Map<string, string>> {
  const outcomes = new Map<string, string>();
  const calls: Promise<void>[] = [];
  const { names } = cluster;
  const end = performance.now() + forMs;
  for (let index = 0; performance.now() < end; index += 1) {
    const id = `burst-${index}`;
    const service = cluster.get(names[index % names.length] ?? '')?.jobService;
    assert.ok(service !== undefined);
    const spec = JobSpec.parse({ payload: id, steps: STEPS });
    const call = service.submit(id, cluster.queue, spec, { timeoutMs: CALLER_DEADLINE_MS });
    calls.push(
      call.then(({ type }) => {
        outcomes.set(id, type);
      }),
    );
    await pause(SUBMIT_INTERVAL_MS);
  }
  await Promise.all(calls);
  return outcomes;
}

function count(outcomes: Map<string, string>, type: string): number {
  return [...outcomes.values()].filter((outcome) => outcome === type).length;
}

describe('Nodes while the store is unavailable', () => {
  // Guards against callers that are held until their deadline in an outage that every node knows of:
  // each submission was appended, and its outcome was unknown.
  it('refuses submissions that were not sent while the store resets connections', () =>
    withCluster(async (cluster) => {
      const sentBefore = cluster.store.sent.length;
      cluster.store.setMode('resetting');
      const outcomes = await submitBurst(cluster, OUTAGE_MS);
      const sentDuring = cluster.store.sent.length - sentBefore;
      cluster.store.setMode('normal');
      // At most one append of each node is in flight when the outage begins.
      assert.ok(count(outcomes, 'unknown') <= NODES, `${count(outcomes, 'unknown')} unknown`);
      assert.ok(count(outcomes, 'refused') >= outcomes.size - NODES);
      // Each node repeats its append for as long as its caller waits, and the owner its heartbeat.
      const maxRepeats = NODES * (CALLER_DEADLINE_MS / MIN_MEAN_DELAY_MS) + OUTAGE_MS / 100;
      assert.ok(sentDuring <= maxRepeats, `${sentDuring} appends`);
      for (const name of cluster.names) {
        await waitFor('an accepted job', async () => {
          const { type } = await cluster.submit(name, `after-${name}`, STEPS);
          return type === 'accepted';
        });
        await waitFor(
          'a completed job',
          async () => (await cluster.findJobState(name, `after-${name}`)) === 'completed',
        );
      }
      const refused = [...outcomes].filter(([, type]) => type === 'refused');
      const started = new Set(cluster.fleet.started.map(({ task }) => task.split('.', 1)[0]));
      assert.deepEqual(
        refused.filter(([id]) => started.has(id)),
        [],
        'a refused job was run',
      );
    }));
});
