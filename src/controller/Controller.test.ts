import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { request } from 'undici';
import { z } from 'zod';
import { fetchObservation, ProcessTimeline } from '../observation/mod.js';
import { Pool } from '../pool/mod.js';
import { buildInventory, ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';
import type { FleetEvent } from '../timeline/mod.js';
import { createControllerClient, type ControllerClient } from './ControllerClient.js';

const [SITE, ...HOSTS] = buildInventory(40, 1);

/** A platform stand-in with fault injection, and controllers that use it. */
class Deployment {
  readonly group = new ProcessGroup();

  platform = '';

  async open(retentionMs?: number): Promise<void> {
    const name = retentionMs === undefined ? 'platform' : String(retentionMs);
    this.platform = (await this.group.startStandin('platform', name)).address;
  }

  startController(options: object = {}): Promise<StartedProcess> {
    return this.group.startDaemon({
      role: 'controller',
      dataCentre: 'd1',
      address: '127.0.0.1:0',
      platform: `http://${this.platform}`,
      ...options,
    });
  }

  async inject(faults: object): Promise<void> {
    const body = JSON.stringify(faults);
    const answer = await request(`http://${this.platform}/faults`, { method: 'PUT', body });
    await answer.body.dump();
  }
}

/** Log entries in the format of the platform. */
const FleetEntries = z.object({ entries: z.array(z.object({ value: z.string() })) });
const Writer = z.object({ writer: z.string() });

function put(address: string, index: number, baseRevision: number) {
  const operations = [SITE, HOSTS[index]].filter((operation) => operation !== undefined);
  // The data centre is added only with the first host, so that later changes do not conflict on it.
  return createControllerClient(address).change.mutate({
    baseRevision,
    operations: index === 0 ? operations : operations.slice(1),
    operator: `operator-${index}`,
  });
}

async function fetchEvents(address: string): Promise<FleetEvent[]> {
  const endpoint = { path: 'timeline', schema: ProcessTimeline } as const;
  return (await fetchObservation(address, endpoint)).events;
}

async function waitForRevision(client: ControllerClient, revision: number): Promise<void> {
  await waitFor(`revision ${revision}`, async () => {
    try {
      return (await client.status.query()).revision >= revision;
    } catch {
      return false;
    }
  });
}

describe('controllers as separate processes', () => {
  const groups: ProcessGroup[] = [];
  after(() => Promise.all(groups.map((group) => group.close())));

  async function openDeployment(retentionMs?: number): Promise<Deployment> {
    const deployment = new Deployment();
    groups.push(deployment.group);
    await deployment.open(retentionMs);
    return deployment;
  }

  it('rejects one of two concurrent changes with a conflict that names both revisions', async () => {
    const deployment = await openDeployment();
    const [a, b] = await Promise.all([deployment.startController(), deployment.startController()]);
    const base = await put(a.address, 0, 0);
    await waitForRevision(createControllerClient(b.address), base.revision);
    const answers = await Promise.all([
      put(a.address, 1, base.revision),
      put(b.address, 1, base.revision),
    ]);
    const won = answers.find((response) => response.verdict.outcome === 'accepted');
    const lost = answers.find((response) => response.verdict.outcome === 'rejected');
    assert.ok(won && lost);
    const reasons = JSON.stringify(lost.verdict);
    assert.match(reasons, new RegExp(`revision ${won.revision}.*base revision ${base.revision}`));
  });

  it('applies an accepted change once despite lost answers and late appends', async () => {
    const deployment = await openDeployment();
    const { address } = await deployment.startController();
    const base = await put(address, 0, 0);
    await deployment.inject({ loseAnswers: 1 });
    assert.equal((await put(address, 1, base.revision)).verdict.outcome, 'accepted');
    await deployment.inject({ lateAppends: 1, lateMs: 700 });
    assert.equal((await put(address, 2, base.revision)).verdict.outcome, 'accepted');
    const client = createControllerClient(address);
    await waitFor('the late append as a duplicate', async () =>
      (await fetchEvents(address)).some((event) => event.type === 'config-change.duplicate'),
    );
    assert.equal((await client.fleet.query()).hosts, 3);
  });

  it('reports unapplied and unknown changes while the platform is down, and keeps its state', async () => {
    const deployment = await openDeployment();
    const { address } = await deployment.startController();
    const base = await put(address, 0, 0);
    await deployment.inject({ down: true });
    const client = createControllerClient(address);
    const first = await put(address, 1, base.revision).catch((error: Error) => error.message);
    assert.match(String(first), /^outcome unknown: /);
    const second = await put(address, 2, base.revision).catch((error: Error) => error.message);
    assert.match(String(second), /^not applied: /);
    const status = await waitFor('a stale state', async () => {
      const current = await client.status.query();
      return current.readiness === 'stale' ? current : undefined;
    });
    assert.equal(status.revision, base.revision);
    // While the log is down, a new process becomes ready from a peer's snapshot, but not without
    // one.
    const joined = await deployment.startController({ peers: [address] });
    await waitForRevision(createControllerClient(joined.address), base.revision);
    const withoutPeer = await deployment.startController();
    const statusWithoutPeer = await createControllerClient(withoutPeer.address).status.query();
    assert.equal(statusWithoutPeer.readiness, 'not-ready');
    assert.match(statusWithoutPeer.reason, /platform: /);
    await deployment.inject({});
    assert.equal((await put(address, 3, base.revision)).verdict.outcome, 'accepted');
    const { hosts } = await client.fleet.query();
    const snapshot = await client.snapshot.query();
    assert.ok(
      !snapshot.hosts.some((host) => host.object.name === 'h3'),
      'refused change was applied',
    );
    assert.equal(hosts, snapshot.hosts.length);
  });

  it('passes a change through a peer to a controller that cannot reach the platform', async () => {
    const deployment = await openDeployment();
    const a = await deployment.startController();
    const base = await put(a.address, 0, 0);
    const isolated = await deployment.startController({
      platform: 'http://127.0.0.1:9',
      peers: [a.address],
    });
    const client = createControllerClient(isolated.address);
    await waitForRevision(client, base.revision);
    const next = await put(a.address, 1, base.revision);
    await waitForRevision(client, next.revision);
    assert.equal((await client.status.query()).readiness, 'ready');
  });

  it('catches up after a suspension, during which rollout lists the process as missing', async () => {
    const deployment = await openDeployment();
    const [a, b] = await Promise.all([deployment.startController(), deployment.startController()]);
    const client = createControllerClient(a.address);
    const base = await put(a.address, 0, 0);
    await waitFor('both sessions', async () => {
      const { processes } = await client.rollout.query();
      return processes.length === 2;
    });
    b.child.kill('SIGSTOP');
    const next = await put(a.address, 1, base.revision);
    const rolloutDuringPause = await client.rollout.query({ revision: next.revision });
    assert.equal(rolloutDuringPause.missing.length, 1);
    assert.equal(rolloutDuringPause.missing[0]?.address, b.address);
    b.child.kill('SIGCONT');
    const rollout = await waitFor('the resumed controller', async () => {
      const current = await client.rollout.query({ revision: next.revision });
      return current.missing.length === 0 && current.behind.length === 0 ? current : undefined;
    });
    assert.ok(rollout.processes.every((status) => status.change !== undefined));
    assert.ok((rollout.tookMs ?? 0) < 15_000);
  });

  it('keeps the configuration past the retention while all controllers are replaced', async () => {
    const retentionMs = 4_000;
    const deployment = await openDeployment(retentionMs);
    const options = { retentionSeconds: retentionMs / 1_000 };
    let { address, child } = await deployment.startController(options);
    const base = await put(address, 0, 0);
    const isFirstRecordExpired = async (): Promise<boolean> => {
      const url = `http://${deployment.platform}/streams/fleet/entries?from=0`;
      const answer = await request(url);
      await answer.body.dump();
      return answer.statusCode === 410;
    };
    await waitFor('the retention to pass', isFirstRecordExpired);
    // After both controllers have stopped, only the checkpoint holds the state.
    const next = await deployment.startController(options);
    await waitForRevision(createControllerClient(next.address), base.revision);
    child.kill('SIGTERM');
    next.child.kill('SIGKILL');
    ({ address, child } = await deployment.startController(options));
    const client = createControllerClient(address);
    await waitForRevision(client, base.revision);
    await waitFor('a checkpoint verified by the new controller', async () =>
      (await fetchEvents(address)).some((event) => event.type === 'checkpoint.verified'),
    );
    assert.equal((await put(address, 1, base.revision)).verdict.outcome, 'accepted');
  });

  // Guards against a decision that is lost or applied twice when its controller is killed right
  // after proposing it.
  it('applies a decision once when rank 0 is killed before its proposal is applied', async () => {
    const deployment = await openDeployment();
    const first = await deployment.startController();
    await waitFor('the first session', async () => {
      const sessions = await createControllerClient(first.address).sessions.query();
      return sessions.length === 1;
    });
    const second = await deployment.startController();
    const client = createControllerClient(second.address);
    await waitFor('both sessions', async () => (await client.sessions.query()).length === 2);
    const pool = Pool.parse({ name: 'p1', need: 1 });
    const operations = [SITE, HOSTS[0], HOSTS[1]].filter((operation) => operation !== undefined);
    const body = {
      type: 'config-change',
      changeId: 'c1',
      baseRevision: 0,
      part: 1,
      parts: 1,
      operator: '',
      operations: [...operations, { action: 'put', kind: 'pool', object: pool }],
    };
    const values = [JSON.stringify({ writer: 'operator', sequence: 1, body })];
    const url = `http://${deployment.platform}/streams/fleet/entries`;
    // Set before the change, because the first controller proposes within milliseconds of it. Holds
    // back everything that this controller appends, including other records and repeated proposals.
    const entries = await request(`${url}?from=0`);
    const [own] = FleetEntries.parse(await entries.body.json()).entries;
    const { writer } = Writer.parse(JSON.parse(own?.value ?? '{}'));
    await deployment.inject({ heldText: `"writer":"${writer}"` });
    await request(url, { method: 'POST', body: JSON.stringify({ values }) });
    await waitFor('the proposal of the first controller', async () =>
      (await fetchEvents(first.address)).some((event) => event.type === 'host-assign.proposed'),
    );
    first.child.kill('SIGKILL');
    const waitForAssigned = async (count: number): Promise<FleetEvent[]> =>
      waitFor(`${count} applied proposals`, async () => {
        const events = await fetchEvents(second.address);
        const assignments = events.filter((event) =>
          /^host-assign\.(accepted|rejected)/.test(event.type),
        );
        return assignments.length === count ? assignments : undefined;
      });
    // The held appends of the first controller take effect only now. With a fixed delay they took
    // effect first on a busy machine, where the second controller plans later and then had nothing
    // left to propose.
    await waitForAssigned(1);
    await deployment.inject({});
    const assigned = await waitForAssigned(2);
    assert.deepEqual(assigned.map((event) => event.type).sort(), [
      'host-assign.accepted',
      'host-assign.rejected',
    ]);
    const { pools } = await client.fleet.query();
    assert.equal(pools.find((summary) => summary.pool === 'p1')?.hosts, 1);
  });
});
