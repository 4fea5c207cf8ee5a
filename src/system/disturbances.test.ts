import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import { CallerCrowd, readSeed, TestSite, waitFor, type EntryHost } from '../testing/mod.js';

const SERVICE = { name: 'match', pathPrefix: '/match', pool: 'match' };
const UPSTREAMS = ['h1', 'h2', 'h3', 'h4'];
const CALLERS = 24;
const SERVICE_MS = 25;
const DISTURBANCES = 7;
const SLOTS = 8;
const CONNECTIONS = 64;

/** What is done to the system while callers send. */
const Disturbance = fc.record({
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
  lastsMs: fc.integer({ min: 300, max: 2_500 }),
});
type Disturbance = typeof Disturbance extends fc.Arbitrary<infer T> ? T : never;

/** A generator of pseudo-random numbers, so that a seed repeats the choices of the callers. */
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
 * Guards against a second run of a key, a false "not run", an answer that is not the caller's own, a
 * configuration that goes back, and slots above the limit, while processes are killed, frozen and
 * stopped, the platform fails and operators change the rules.
 */
describe('the whole system under disturbances', () => {
  const site = new TestSite();
  const seed = readSeed();
  let need = 3;
  let revision = 0;

  async function inject(one: Disturbance): Promise<void> {
    const host = site.hosts[one.target] as EntryHost;
    const freeze = async (process: EntryHost['gateway']): Promise<void> => {
      process.child.kill('SIGSTOP');
      await pause(one.lastsMs);
      process.child.kill('SIGCONT');
    };
    switch (one.kind) {
      case 'kill gateway':
        await site.group.kill(host.gateway);
        host.gateway = await site.group.startDaemon(host.gatewaySettings);
        break;
      case 'stop gateway':
        host.gateway.child.kill('SIGTERM');
        await waitFor('the planned stop', () => host.gateway.child.exitCode !== null, 45_000);
        host.gateway = await site.group.startDaemon(host.gatewaySettings);
        break;
      case 'kill controller':
        await site.group.kill(host.controller);
        host.controller = await site.group.startDaemon(host.controllerSettings);
        break;
      case 'freeze gateway':
        await freeze(host.gateway);
        break;
      case 'freeze controller':
        await freeze(host.controller);
        break;
      case 'platform down':
        await site.injectFaults({ down: true });
        await pause(one.lastsMs);
        await site.injectFaults({});
        break;
      case 'lose answers':
        await site.injectFaults({ loseAnswers: 3 });
        break;
      case 'upstream leaves':
      case 'upstream fails':
        await site.setBehaviour(
          one.upstream,
          one.kind === 'upstream fails' ? { failing: true } : { leaving: true },
        );
        await pause(one.lastsMs);
        await site.setBehaviour(one.upstream, { serviceMs: SERVICE_MS });
        break;
      default:
        need = need === 3 ? 4 : 3;
        revision = await waitFor('a change to be accepted', () =>
          site
            .apply(host, [{ action: 'put', kind: 'pool', object: buildPool(need) }])
            .catch(() => undefined),
        );
    }
  }

  before(async () => {
    await site.open();
    const addresses = await Promise.all(UPSTREAMS.map((name) => site.startUpstream(name)));
    await Promise.all(UPSTREAMS.map((name) => site.setBehaviour(name, { serviceMs: SERVICE_MS })));
    const links = { platform: site.platform, peers: [] };
    const first = await site.startEntryHost('rennes-1', links);
    const peers = [first.controller.address];
    await site.startEntryHost('rennes-1', { platform: site.platform, peers });
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
    const file = site.group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    const applied = await site.group.runCommand(
      'apply',
      file,
      '--controller',
      first.controller.address,
    );
    assert.equal(applied.code, 0, applied.stdout + applied.stderr);
  });

  after(() => site.close());

  it('keeps its promises to callers and operators', async (t) => {
    const crowd = new CallerCrowd({
      listGateways: () => site.hosts.map((host) => host.gatewaySettings.address),
      path: SERVICE.pathPrefix,
      callers: CALLERS,
      random: createRandom(seed),
    });
    crowd.start();
    await waitFor('keyed jobs to run', () => crowd.ledger.count('ran') > 20, 60_000);
    const revisions = new Map<string, number>();
    let isDone = false;
    const watch = (async () => {
      while (!isDone) {
        (await site.readStatuses()).forEach((status) => {
          if (status === undefined) return;
          const earlier = revisions.get(status.session) ?? 0;
          assert.ok(
            status.revision >= earlier,
            `${status.session} went back to ${status.revision}`,
          );
          revisions.set(status.session, status.revision);
        });
        await pause(100);
      }
    })();
    const [plan = []] = fc.sample(
      fc.array(Disturbance, { minLength: DISTURBANCES, maxLength: DISTURBANCES }),
      { seed, numRuns: 1 },
    );
    for (const one of plan) {
      t.diagnostic(`seed ${seed}: ${JSON.stringify(one)}`);
      await inject(one);
      await pause(300);
    }
    const ranBefore = crowd.ledger.count('ran');
    await waitFor(
      'keyed jobs to run again',
      () => crowd.ledger.count('ran') > ranBefore + 20,
      60_000,
    );
    await crowd.stop();
    isDone = true;
    await watch;
    await site.waitForRevision(revision);
    const violations = crowd.ledger.check(await site.countRuns());
    t.diagnostic(
      `${crowd.ledger.keys} keys, ${crowd.ledger.count('ran')} told "ran", ` +
        `goodput of idempotent requests ${crowd.goodput.toFixed(3)}`,
    );
    crowd.problems.forEach((count, what) => t.diagnostic(`${count} x ${what}`));
    const misdirected = [...crowd.problems.keys()].filter((what) => what.includes(' 404 '));
    assert.deepEqual(misdirected, [], 'a gateway that still reads its state knows of no 404');
    assert.deepEqual(violations, []);
    assert.deepEqual(crowd.wrongAnswers, []);
    (await site.readCounts()).forEach((counts, name) => {
      assert.ok(counts.maxRunning <= SLOTS, `${name} ran ${counts.maxRunning} jobs at once`);
      assert.ok(
        counts.maxConnections <= CONNECTIONS,
        `${name}: ${counts.maxConnections} connections`,
      );
    });
  });
});
