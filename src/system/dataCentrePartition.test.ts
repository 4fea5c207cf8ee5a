import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import type { Operation } from '../record/mod.js';
import { TcpProxy } from '../standin/mod.js';
import { TestCluster, waitFor, type EntryHost } from '../testing/mod.js';

/** Design target for the time until a change is in force in every process. */
const ROLLOUT_TARGET_MS = 15_000;
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
 * Guards against a data centre that stops serving, or that loses its configuration or reverts to an
 * older one, while it is partitioned from the platform or from the other controllers.
 */
describe('a partitioned data centre', () => {
  const cluster = new TestCluster();
  const platformProxy = new TcpProxy();
  const rennesProxy = new TcpProxy();
  let rennes: EntryHost;
  let brest: EntryHost;

  async function checkServing(host: EntryHost): Promise<void> {
    const codes = await Promise.all(
      Array.from({ length: REQUESTS }, () => fetchStatus(host.gateway.address, '/match')),
    );
    assert.deepEqual([...new Set(codes)], [200]);
  }

  before(async () => {
    await cluster.open();
    rennes = await cluster.startEntryHost('rennes-1', { platform: cluster.platform, peers: [] });
    const links = {
      platform: await platformProxy.open(cluster.platform),
      peers: [await rennesProxy.open(rennes.controller.address)],
    };
    brest = await cluster.startEntryHost('brest-1', links);
    const hosts = await Promise.all(
      ['rennes-1', 'brest-1'].flatMap((dataCentre) =>
        ['a', 'b'].map(async (suffix) => {
          const name = `${dataCentre}-${suffix}`;
          return { name, dataCentre, rack: name, address: await cluster.startUpstream(name) };
        }),
      ),
    );
    const fleet = {
      dataCentres: ['rennes-1', 'brest-1'].map((name) => ({ name, region: 'brittany' })),
      hosts,
      pools: [{ name: 'match', need: 4 }],
      services: [{ name: 'match', pathPrefix: '/match', pool: 'match' }],
    };
    const file = cluster.group.writeFile('fleet.jsonc', JSON.stringify(fleet));
    const to = ['--controller', rennes.controller.address];
    const applied = await cluster.group.runCommand('apply', file, ...to);
    assert.equal(applied.code, 0, applied.stdout + applied.stderr);
    await waitFor('both gateways to serve', async () => {
      const codes = await Promise.all(
        cluster.hosts.map((host) => fetchStatus(host.gateway.address, '/match')),
      );
      return codes.every((code) => code === 200);
    });
  });

  after(async () => {
    await platformProxy.close();
    await rennesProxy.close();
    await cluster.close();
  });

  it('gets new configuration from another controller while it cannot reach the platform', async () => {
    platformProxy.suspend();
    try {
      const revision = await cluster.apply(rennes, [putService('spread')]);
      await waitFor(
        'the change in the data centre that cannot reach the platform',
        async () => {
          const statuses = await cluster.readStatuses([brest]);
          return statuses.every((status) => (status?.revision ?? 0) >= revision);
        },
        ROLLOUT_TARGET_MS,
      );
      await checkServing(brest);
    } finally {
      platformProxy.restore();
    }
  });

  it('continues to serve while it can reach neither a controller nor the platform, then catches up', async () => {
    platformProxy.suspend();
    rennesProxy.suspend();
    const [initial] = await cluster.readStatuses([brest]);
    const revision = await cluster.apply(rennes, [putService('later')]);
    await cluster.waitForRevision(revision, [rennes]);
    await checkServing(brest);
    const [current] = await cluster.readStatuses([brest]);
    assert.equal(current?.revision, initial?.revision);
    assert.equal(await fetchStatus(brest.gateway.address, '/later'), 404);
    platformProxy.restore();
    rennesProxy.restore();
    await cluster.waitForRevision(revision, [brest]);
    assert.equal(await fetchStatus(brest.gateway.address, '/later'), 200);
    await checkServing(brest);
  });
});
