import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import type { Operation } from '../record/mod.js';
import { TcpProxy } from '../standin/mod.js';
import { TestSite, waitFor, type EntryHost } from '../testing/mod.js';

/** The target of the design for a change to be in force everywhere. */
const ROLLOUT_MS = 15_000;
const REQUESTS = 50;

function putService(name: string): Operation {
  return {
    action: 'put',
    kind: 'service',
    object: {
      name,
      pathPrefix: `/${name}`,
      pool: 'match',
      idempotent: false,
      slotsPerHost: 8,
      connectionsPerHost: 64,
      jobTimeoutMs: 5_000,
    },
  };
}

async function fetchStatus(gateway: string, path: string): Promise<number> {
  const answer = await request(`http://${gateway}${path}`);
  await answer.body.dump();
  return answer.statusCode;
}

/**
 * Guards against a data centre that stops serving, loses configuration or goes back to an older one
 * when it is cut off from the platform or from the other controllers.
 */
describe('a data centre that is cut off', () => {
  const site = new TestSite();
  const toPlatform = new TcpProxy();
  const toRennes = new TcpProxy();
  let rennes: EntryHost;
  let brest: EntryHost;

  async function checkServing(host: EntryHost): Promise<void> {
    const codes = await Promise.all(
      Array.from({ length: REQUESTS }, () => fetchStatus(host.gateway.address, '/match')),
    );
    assert.deepEqual([...new Set(codes)], [200]);
  }

  before(async () => {
    await site.open();
    rennes = await site.startEntryHost('rennes-1', { platform: site.platform, peers: [] });
    const links = {
      platform: await toPlatform.open(site.platform),
      peers: [await toRennes.open(rennes.controller.address)],
    };
    brest = await site.startEntryHost('brest-1', links);
    const hosts = await Promise.all(
      ['rennes-1', 'brest-1'].flatMap((dataCentre) =>
        ['a', 'b'].map(async (suffix) => {
          const name = `${dataCentre}-${suffix}`;
          return { name, dataCentre, rack: name, address: await site.startUpstream(name) };
        }),
      ),
    );
    const fleet = {
      dataCentres: ['rennes-1', 'brest-1'].map((name) => ({ name, region: 'brittany' })),
      hosts,
      pools: [{ name: 'match', need: 4 }],
      services: [{ name: 'match', pathPrefix: '/match', pool: 'match' }],
    };
    const file = site.group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    const to = ['--controller', rennes.controller.address];
    const applied = await site.group.runCommand('apply', file, ...to);
    assert.equal(applied.code, 0, applied.stdout + applied.stderr);
    await waitFor('both gateways to serve', async () => {
      const codes = await Promise.all(
        site.hosts.map((host) => fetchStatus(host.gateway.address, '/match')),
      );
      return codes.every((code) => code === 200);
    });
  });

  after(async () => {
    await toPlatform.close();
    await toRennes.close();
    await site.close();
  });

  it('gets new configuration from another controller without the platform', async () => {
    toPlatform.suspend();
    try {
      const revision = await site.apply(rennes, [putService('spread')]);
      await waitFor(
        'the change in the data centre without the platform',
        async () => {
          const statuses = await site.readStatuses([brest]);
          return statuses.every((status) => (status?.revision ?? 0) >= revision);
        },
        ROLLOUT_MS,
      );
      await checkServing(brest);
    } finally {
      toPlatform.restore();
    }
  });

  it('serves on without any controller or platform in reach, and catches up afterwards', async () => {
    toPlatform.suspend();
    toRennes.suspend();
    const [known] = await site.readStatuses([brest]);
    const revision = await site.apply(rennes, [putService('later')]);
    await site.waitForRevision(revision, [rennes]);
    await checkServing(brest);
    const [during] = await site.readStatuses([brest]);
    assert.equal(during?.revision, known?.revision);
    assert.equal(await fetchStatus(brest.gateway.address, '/later'), 404);
    toPlatform.restore();
    toRennes.restore();
    await site.waitForRevision(revision, [brest]);
    assert.equal(await fetchStatus(brest.gateway.address, '/later'), 200);
    await checkServing(brest);
  });
});
