import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { NodeCluster } from '../emulator/NodeCluster.js';
import type { OrganisationConfig } from '../port/mod.js';
import { JobSpec } from '../task/mod.js';
import { waitFor } from '../testing/waitFor.js';
import { WorkLogKey } from '../workLog/mod.js';

const STEPS = [{ count: 1, cpuMilli: 1_000, estimateMs: 100 }];
const LIMIT_MS = 2_000;
const AWAY = 'node-2';

function buildOrganisations(keys: Record<string, string[]>): OrganisationConfig[] {
  const cap = { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
  return Object.entries(keys).map(([name, apiKeys]) => ({ name, apiKeys, jobsPerS: 1, cap }));
}

async function withCluster(use: (cluster: NodeCluster) => Promise<void>): Promise<void> {
  const cluster = new NodeCluster({
    nodes: 3,
    machines: 2,
    script: () => ({ runMs: 80, outcome: 'done' }),
    organisations: buildOrganisations({ acme: ['k-1'], umbra: ['k-2'] }),
    revocationLimitMs: LIMIT_MS,
  });
  try {
    await waitFor('ready nodes', () =>
      cluster.names.every((name) => cluster.get(name)?.isReady === true),
    );
    await use(cluster);
  } finally {
    cluster.close();
  }
}

async function call(cluster: NodeCluster, node: string, key?: string): Promise<string> {
  const answer = await cluster.get(node)?.jobService.countWaiting(cluster.queue, { key });
  return answer?.type ?? 'none';
}

async function describeJob(cluster: NodeCluster, node: string, key: string): Promise<string> {
  const answer = await cluster.get(node)?.jobService.describe('a', cluster.queue, { key });
  return answer?.type ?? 'none';
}

describe('Node with API keys', () => {
  it('answers calls with a key and no others, and public queues without one', () =>
    withCluster(async (cluster) => {
      assert.equal(await call(cluster, 'node-0', 'k-1'), 'waiting');
      assert.equal(await call(cluster, 'node-0', 'k-9'), 'unauthorized');
      assert.equal(await call(cluster, 'node-0'), 'unauthorized');
      const { jobService } = cluster.get('node-0') ?? assert.fail();
      const found = jobService.findQueue('jobs.example', '/renders/a');
      assert.deepEqual(found, { type: 'unauthorized' });
      const queue = cluster.publicQueue;
      assert.equal((await cluster.submit('node-0', 'p', STEPS, { queue })).type, 'accepted');
      assert.ok('queue' in jobService.findQueue('jobs.example', '/previews/p'));
    }));

  // Guards against a revoked key that a partitioned node goes on serving, and against a caller with
  // a new key who is told by that node that the key does not exist.
  it('stops serving keys within the limit while it is away from the store', () =>
    withCluster(async (cluster) => {
      cluster.store.setMode('silent', AWAY);
      cluster.setOrganisations(buildOrganisations({ acme: ['k-3'], umbra: ['k-2'] }));
      const revokedAt = performance.now();
      await waitFor(
        'the new key',
        async () => (await call(cluster, 'node-0', 'k-3')) === 'waiting',
      );
      assert.equal(await call(cluster, 'node-0', 'k-1'), 'unauthorized');
      let servedAt = revokedAt;
      let unreadyAt: number | undefined;
      while (performance.now() - revokedAt < LIMIT_MS + 300) {
        const askedAt = performance.now();
        const answer = await call(cluster, AWAY, 'k-1');
        if (answer === 'waiting') servedAt = askedAt;
        else assert.equal(answer, 'refused');
        if (cluster.get(AWAY)?.isReady === false) unreadyAt ??= askedAt;
        const unknown = await call(cluster, AWAY, 'k-3');
        const isCurrent = askedAt - revokedAt < 1_500;
        assert.ok(unknown === 'refused' || (isCurrent && unknown === 'unauthorized'), unknown);
        await pause(20);
      }
      assert.ok(servedAt - revokedAt < LIMIT_MS, 'served after the limit');
      assert.ok((unreadyAt ?? Infinity) <= servedAt, 'ready until the last served call');
      const isPublicServed = await cluster
        .get(AWAY)
        ?.jobService.countWaiting(cluster.publicQueue, {});
      assert.equal(isPublicServed?.type, 'waiting');
      cluster.store.setMode('normal', AWAY);
      await waitFor('the new key', async () => (await call(cluster, AWAY, 'k-3')) === 'waiting');
      assert.equal(await call(cluster, AWAY, 'k-1'), 'unauthorized');
    }));

  it('uses no key after a freeze before it has read the configuration again', () =>
    withCluster(async (cluster) => {
      cluster.clock.advanceWall(LIMIT_MS);
      assert.equal(await call(cluster, 'node-0', 'k-1'), 'refused');
      await waitFor(
        'a new proof',
        async () => (await call(cluster, 'node-0', 'k-1')) === 'waiting',
      );
    }));

  // Guards against a submission that is appended after a freeze although its key was revoked.
  it('appends no submission that waited in the node during a freeze', () =>
    withCluster(async (cluster) => {
      cluster.store.holdNextAppend(AWAY, 10_000);
      const first = cluster.submit(AWAY, 'first', STEPS, { key: 'k-1' });
      await pause(20);
      const waiting = cluster.submit(AWAY, 'waiting', STEPS, { key: 'k-1' });
      await pause(20);
      cluster.store.setMode('silent', AWAY);
      cluster.clock.advanceWall(LIMIT_MS);
      const answer = await waiting;
      assert.equal(answer.type, 'refused');
      assert.equal((await first).type, 'unknown');
      // The first append may still be executed, so its repetition cannot be refused as never running.
      const repeated = await cluster.submit(AWAY, 'first', STEPS, { key: 'k-1' });
      assert.equal(repeated.type, 'unknown');
      // The same applies once the key, and with it the organisation of the call, is not known any more.
      const { jobService } = cluster.get(AWAY) ?? assert.fail();
      const spec = JobSpec.parse({ payload: 'x', steps: STEPS });
      const unknown = await jobService.submit('first', cluster.queue, spec, { key: 'k-9' });
      assert.equal(unknown.type, 'unknown');
      cluster.store.setMode('normal', AWAY);
      await pause(300);
      const records = cluster.store.listNewest('work').map(({ key }) => key);
      assert.deepEqual(
        records.filter((key) => key.includes('/waiting/')),
        [],
      );
    }));

  // Guards against a relayed submission that a peer appends after its API key has expired: it was
  // long in transit, or the peer was suspended before it received it.
  it('appends no relayed record after the sender has let it expire', () =>
    withCluster(async (cluster) => {
      const { jobService } = cluster.get('node-0') ?? assert.fail();
      const write = (limit: { expiresAtMs?: number }): Promise<string> =>
        jobService.write('cancel/x', '{"atMs":1}', { timeoutMs: 1_000, ...limit });
      const nowMs = cluster.clock.readWall();
      assert.equal(await write({ expiresAtMs: nowMs - 1 }), 'not-stored');
      assert.equal(await write({ expiresAtMs: nowMs + 1_000 }), 'stored');
      // The proof of the keys is no longer current; a record without a key does not need it.
      cluster.clock.advanceWall(1_600);
      assert.equal(await write({ expiresAtMs: nowMs + 5_000 }), 'not-stored');
      assert.equal(await write({}), 'stored');
    }));

  it('uses no key after a restart while it is away from the store', () =>
    withCluster(async (cluster) => {
      cluster.kill(AWAY);
      cluster.store.setMode('silent', AWAY);
      cluster.setOrganisations(buildOrganisations({ acme: ['k-3'] }));
      cluster.start(AWAY);
      await pause(500);
      assert.equal(cluster.get(AWAY)?.isReady, false);
      assert.equal(await call(cluster, AWAY, 'k-1'), 'refused');
      const found = cluster.get(AWAY)?.jobService.findQueue('jobs.example', '/renders/a', 'k-1');
      assert.equal(found !== undefined && 'type' in found ? found.type : 'served', 'refused');
      cluster.store.setMode('normal', AWAY);
      await waitFor('readiness', () => cluster.get(AWAY)?.isReady === true);
      assert.equal(await call(cluster, AWAY, 'k-1'), 'unauthorized');
      assert.equal(await call(cluster, AWAY, 'k-3'), 'waiting');
    }));

  it('gives the job of an organisation to no other one, also through a peer', () =>
    withCluster(async (cluster) => {
      const submitted = await cluster.submit('node-0', 'a', STEPS, { key: 'k-1' });
      assert.equal(submitted.type, 'accepted');
      await waitFor('the job', async () => (await describeJob(cluster, AWAY, 'k-1')) === 'state');
      assert.equal(await describeJob(cluster, AWAY, 'k-2'), 'forbidden');
      assert.equal((await cluster.submit(AWAY, 'a', STEPS, { key: 'k-2' })).type, 'forbidden');
      const { jobService } = cluster.get(AWAY) ?? assert.fail();
      const cancelled = await jobService.cancel('a', cluster.queue, { key: 'k-2' });
      assert.equal(cancelled.type, 'forbidden');
      const keys = cluster.store.listNewest('work').map(({ key }) => key);
      assert.ok(!keys.some((key) => key.startsWith('cancel/')));
      // A node that has not read the job learns its organisation from a peer.
      cluster.kill(AWAY);
      cluster.start(AWAY);
      await waitFor('readiness', () => cluster.get(AWAY)?.isReady === true);
      cluster.store.setMode('silent', AWAY);
      await cluster.submit('node-0', 'b', STEPS, { key: 'k-1' });
      const { jobService: restarted } = cluster.get(AWAY) ?? assert.fail();
      await waitFor('an answer of a peer', async () => {
        const answer = await restarted.describe('b', cluster.queue, { key: 'k-2' });
        assert.notEqual(answer.type, 'state');
        return answer.type === 'forbidden';
      });
    }));

  it('refuses a submission beyond the rate while the pool has no capacity', () =>
    withCluster(async (cluster) => {
      for (let job = 0; job < 6; job += 1) {
        const { type } = await cluster.submit('node-0', `job-${job}`, STEPS, { key: 'k-1' });
        assert.equal(type, 'accepted');
      }
      const load = {
        token: 1_000,
        fullPools: ['studio'],
        atMs: cluster.clock.readWall(),
        validMs: 5_000,
      };
      cluster.store.write('work', WorkLogKey.poolLoad, JSON.stringify(load));
      let id = '';
      // Jobs that are accepted although they are beyond the rate do not use it up.
      const refused = await waitFor('a refusal at another node', async () => {
        id += 'x';
        const answer = await cluster.submit('node-1', id, STEPS, { key: 'k-1' });
        return answer.type === 'over-limit' && answer;
      });
      assert.ok(
        refused.retryAfterMs > 0 && refused.retryAfterMs <= 1_500,
        `${refused.retryAfterMs}`,
      );
      assert.equal((await cluster.submit('node-1', 'c', STEPS, { key: 'k-2' })).type, 'accepted');
      // A job that another node has just stored runs, so its repetition is not refused. The node has
      // just read a record, so it reads the next one after a delay.
      await pause(10);
      const job = {
        queue: 'renders',
        pool: 'studio',
        rule: { priority: 0, maxAttempts: 1, stretch: 2, latencyTargetMs: 600 },
        submittedAtMs: cluster.clock.readWall(),
        organisation: 'acme',
        spec: { payload: 'x', steps: STEPS },
      };
      cluster.store.write('work', WorkLogKey.job('lost', 'dc', 'acme'), JSON.stringify(job));
      const repeated = await cluster.submit('node-1', 'lost', STEPS, { key: 'k-1' });
      assert.equal(repeated.type, 'accepted');
      await pause(refused.retryAfterMs);
      const retried = await cluster.submit('node-1', id, STEPS, { key: 'k-1' });
      assert.equal(retried.type, 'accepted');
    }));
});
