import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import { LoadGenerator, readSeed, TestCluster, waitFor, type EntryHost } from '../testing/mod.js';

const SERVICE = { name: 'match', pathPrefix: '/match', pool: 'match' };
const UPSTREAMS = ['h1', 'h2', 'h3', 'h4'];
const CALLERS = 24;
const SERVICE_MS = 25;
const FAULT_COUNT = 7;
const SLOTS_PER_HOST = 8;
const CONNECTIONS_PER_HOST = 64;

/** A fault or a configuration change that is injected while callers send requests. */
const Fault = fc.record({
  kind: fc.constantFrom(
    'kill gateway',
    'freeze gateway',
    'stop gateway',
    'kill controller',
    'freeze controller',
    'platform down',
    'lose answers',
    'upstream leaves',
    'upstream fails',
    'change',
  ),
  target: fc.nat({ max: 1 }),
  upstream: fc.constantFrom(...UPSTREAMS),
  durationMs: fc.integer({ min: 300, max: 2_500 }),
});
type Fault = typeof Fault extends fc.Arbitrary<infer T> ? T : never;

/** Creates a seeded pseudo-random generator, which makes the choices of the callers reproducible. */
function createRandom(seed: number): () => number {
  let state = seed % 2_147_483_647;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function buildPool(size: number) {
  return {
    name: 'match',
    need: size,
    headroom: 0,
    availabilityBudget: 1,
    guardRackLoss: false,
    requires: { cores: 0, memoryGb: 0, accelerators: 0 },
    lends: false,
    lendAfterSeconds: 30,
    maintenance: { periodDays: 49, windows: [] },
  };
}

/**
 * Guards against a second run of a key, a false "not-run" outcome, a response to another caller's
 * request, a process that reverts to an older configuration, and more concurrent jobs or connections
 * than the limits allow. These could occur while processes are killed, suspended and stopped, the
 * platform fails and operators change the rules.
 */
describe('the whole system under injected faults', () => {
  const cluster = new TestCluster();
  const seed = readSeed();
  let need = 3;
  let revision = 0;

  async function injectFault(fault: Fault): Promise<void> {
    const host = cluster.hosts[fault.target] as EntryHost;
    const freeze = async (process: EntryHost['gateway']): Promise<void> => {
      process.child.kill('SIGSTOP');
      await pause(fault.durationMs);
      process.child.kill('SIGCONT');
    };
    switch (fault.kind) {
      case 'kill gateway':
        await cluster.group.kill(host.gateway);
        host.gateway = await cluster.group.startDaemon(host.gatewaySettings);
        break;
      case 'stop gateway':
        host.gateway.child.kill('SIGTERM');
        await waitFor('the gateway to stop', () => host.gateway.child.exitCode !== null, 45_000);
        host.gateway = await cluster.group.startDaemon(host.gatewaySettings);
        break;
      case 'kill controller':
        await cluster.group.kill(host.controller);
        host.controller = await cluster.group.startDaemon(host.controllerSettings);
        break;
      case 'freeze gateway':
        await freeze(host.gateway);
        break;
      case 'freeze controller':
        await freeze(host.controller);
        break;
      case 'platform down':
        await cluster.injectFaults({ down: true });
        await pause(fault.durationMs);
        await cluster.injectFaults({});
        break;
      case 'lose answers':
        await cluster.injectFaults({ loseAnswers: 3 });
        break;
      case 'upstream leaves':
      case 'upstream fails':
        await cluster.setBehaviour(
          fault.upstream,
          fault.kind === 'upstream fails' ? { failing: true } : { leaving: true },
        );
        await pause(fault.durationMs);
        await cluster.setBehaviour(fault.upstream, { serviceMs: SERVICE_MS });
        break;
      default:
        need = need === 3 ? 4 : 3;
        revision = await waitFor('a change to be accepted', () =>
          cluster
            .apply(host, [{ action: 'put', kind: 'pool', object: buildPool(need) }])
            .catch(() => undefined),
        );
    }
  }

  before(async () => {
    await cluster.open();
    const addresses = await Promise.all(UPSTREAMS.map((name) => cluster.startUpstream(name)));
    await Promise.all(
      UPSTREAMS.map((name) => cluster.setBehaviour(name, { serviceMs: SERVICE_MS })),
    );
    const links = { platform: cluster.platform, peers: [] };
    const first = await cluster.startEntryHost('rennes-1', links);
    const peers = [first.controller.address];
    await cluster.startEntryHost('rennes-1', { platform: cluster.platform, peers });
    const hosts = UPSTREAMS.map((name, index) => ({
      name,
      dataCentre: 'rennes-1',
      rack: `r${index % 2}`,
      address: addresses[index],
    }));
    const fleet = {
      dataCentres: [{ name: 'rennes-1', region: 'brittany' }],
      hosts,
      pools: [buildPool(need)],
      services: [SERVICE],
    };
    const file = cluster.group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    const applied = await cluster.group.runCommand(
      'apply',
      file,
      '--controller',
      first.controller.address,
    );
    assert.equal(applied.code, 0, applied.stdout + applied.stderr);
  });

  after(() => cluster.close());

  it('keeps its guarantees to callers and operators', async (t) => {
    const load = new LoadGenerator({
      listGateways: () => cluster.hosts.map((host) => host.gatewaySettings.address),
      path: SERVICE.pathPrefix,
      callers: CALLERS,
      random: createRandom(seed),
    });
    load.start();
    await waitFor('keyed jobs to run', () => load.outcomeChecker.count('ran') > 20, 60_000);
    const revisions = new Map<string, number>();
    let isFinished = false;
    const statusMonitor = (async () => {
      while (!isFinished) {
        (await cluster.readStatuses()).forEach((status) => {
          if (status === undefined) return;
          const earlier = revisions.get(status.session) ?? 0;
          assert.ok(
            status.revision >= earlier,
            `${status.session} reverted to revision ${status.revision}`,
          );
          revisions.set(status.session, status.revision);
        });
        await pause(100);
      }
    })();
    const [plan = []] = fc.sample(
      fc.array(Fault, { minLength: FAULT_COUNT, maxLength: FAULT_COUNT }),
      { seed, numRuns: 1 },
    );
    for (const fault of plan) {
      t.diagnostic(`seed ${seed}: ${JSON.stringify(fault)}`);
      await injectFault(fault);
      await pause(300);
    }
    const ranCount = load.outcomeChecker.count('ran');
    await waitFor(
      'keyed jobs to run again',
      () => load.outcomeChecker.count('ran') > ranCount + 20,
      60_000,
    );
    await load.stop();
    isFinished = true;
    await statusMonitor;
    await cluster.waitForRevision(revision);
    const violations = load.outcomeChecker.check(await cluster.countRuns());
    t.diagnostic(
      `${load.outcomeChecker.keys} keys, ${load.outcomeChecker.count('ran')} reported as "ran", ` +
        `goodput of idempotent requests ${load.goodput.toFixed(3)}`,
    );
    load.problems.forEach((count, problem) => t.diagnostic(`${count} x ${problem}`));
    const notFoundProblems = [...load.problems.keys()].filter((problem) =>
      problem.includes(' 404 '),
    );
    assert.deepEqual(
      notFoundProblems,
      [],
      'a gateway without a complete state must not answer 404',
    );
    assert.deepEqual(violations, []);
    assert.deepEqual(load.wrongResponses, []);
    (await cluster.readCounts()).forEach((counts, name) => {
      assert.ok(
        counts.maxRunning <= SLOTS_PER_HOST,
        `${name} ran ${counts.maxRunning} jobs at once`,
      );
      assert.ok(
        counts.maxConnections <= CONNECTIONS_PER_HOST,
        `${name}: ${counts.maxConnections} connections`,
      );
    });
  });
});
