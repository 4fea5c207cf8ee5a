import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ProcessGroup, waitFor, type StartedProcess } from '../testing/mod.js';

const JOBS_PER_BATCH = 24;

function createKey(number: number): string {
  const time = Date.now().toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${number.toString(16).padStart(12, '0')}`;
}

/**
 * Guards against running a key twice, or running a key whose outcome was reported as `not-run`,
 * while gateways are frozen, resumed and killed.
 */
describe('jobs with idempotency keys over three gateway processes', () => {
  const group = new ProcessGroup();
  const gateways: StartedProcess[] = [];
  let upstream = '';
  let sent = 0;

  async function sendJob(gateway: StartedProcess, key: string): Promise<string> {
    try {
      const answer = await request(`http://${gateway.address}/match`, {
        method: 'POST',
        headers: { 'idempotency-key': key },
        body: 'x',
        headersTimeout: 10_000,
      });
      await answer.body.dump();
      return String(answer.headers['buckthornreach-outcome']);
    } catch {
      return 'unknown';
    }
  }

  async function countRuns(): Promise<Record<string, number>> {
    const answer = await request(`http://${upstream}/standin/counts`);
    return ((await answer.body.json()) as { runsByKey: Record<string, number> }).runsByKey;
  }

  /** Sends each key to two gateways concurrently and returns the outcomes by key. */
  async function sendBatch(targets: StartedProcess[]): Promise<Map<string, string[]>> {
    const outcomes = new Map<string, string[]>();
    await Promise.all(
      Array.from({ length: JOBS_PER_BATCH }, async (_value, index) => {
        sent += 1;
        const key = createKey(sent);
        const targetPair = [targets[index % targets.length], targets[(index + 1) % targets.length]];
        outcomes.set(
          key,
          await Promise.all(targetPair.map((one) => sendJob(one as StartedProcess, key))),
        );
      }),
    );
    return outcomes;
  }

  async function checkBatch(outcomes: Map<string, string[]>): Promise<void> {
    const runs = await countRuns();
    outcomes.forEach((pair, key) => {
      const count = runs[key] ?? 0;
      assert.ok(count <= 1, `key ${key} ran ${count} times`);
      if (pair.every((outcome) => outcome === 'not-run')) assert.equal(count, 0, key);
      if (pair.includes('ran')) assert.equal(count, 1, key);
    });
  }

  function waitForService(targets: StartedProcess[]): Promise<true> {
    return waitFor(
      'every key to run',
      async () => {
        const outcomes = await sendBatch(targets);
        await checkBatch(outcomes);
        return [...outcomes.values()].every((pair) => pair.includes('ran')) || undefined;
      },
      40_000,
    );
  }

  before(async () => {
    const platform = await group.startStandin('platform');
    upstream = (await group.startStandin('upstream', 'h1')).address;
    const address = '127.0.0.1:0';
    const api = await group.startDaemon({
      role: 'controller',
      dataCentre: 'rennes-1',
      address,
      platform: `http://${platform.address}`,
    });
    const fleet = {
      dataCentres: [{ name: 'rennes-1', region: 'brittany' }],
      hosts: [{ name: 'h1', dataCentre: 'rennes-1', rack: 'r1', address: upstream }],
      pools: [{ name: 'match', need: 1 }],
      services: [{ name: 'match', pathPrefix: '/match', pool: 'match' }],
    };
    const file = group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    await group.runCommand('apply', file, '--controller', api.address);
    const settings = { role: 'gateway', dataCentre: 'rennes-1', address, peerAddress: address };
    const started = await Promise.all(
      [1, 2, 3].map(() => group.startDaemon({ ...settings, controllers: [api.address] })),
    );
    gateways.push(...started);
  });

  after(() => group.close());

  it('runs each key once across all gateways', async () => {
    await waitForService(gateways);
  });

  it('runs no key twice while a gateway is frozen and after it resumes', async () => {
    const [first, second, frozen] = gateways as [StartedProcess, StartedProcess, StartedProcess];
    frozen.child.kill('SIGSTOP');
    await waitForService([first, second]);
    frozen.child.kill('SIGCONT');
    await checkBatch(await sendBatch(gateways));
    await waitForService(gateways);
  });

  it('runs no key twice while a gateway is killed', async () => {
    const [first, second, killed] = gateways as [StartedProcess, StartedProcess, StartedProcess];
    const batch = sendBatch(gateways);
    killed.child.kill('SIGKILL');
    await checkBatch(await batch);
    await waitForService([first, second]);
  });
});
