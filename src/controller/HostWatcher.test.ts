import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { request } from 'undici';
import { fetchObservation, ProcessTimeline } from '../observation/mod.js';
import { buildInventory, ProcessGroup, waitFor, type Started } from '../testing/mod.js';
import type { FleetEvent } from '../timeline/mod.js';
import { createControllerClient } from './ControllerClient.js';

const DEADLINE_MS = 30_000;

describe('HostWatcher in a controller process', () => {
  const group = new ProcessGroup();
  after(() => group.close());
  let platform = '';

  async function send(path: string, body: object): Promise<void> {
    const url = `http://${platform}${path}`;
    const answer = await request(url, { method: 'PUT', body: JSON.stringify(body) });
    await answer.body.dump();
  }

  async function listEvents({ address }: Started): Promise<FleetEvent[]> {
    const what = { path: 'timeline', schema: ProcessTimeline } as const;
    return (await fetchObservation(address, what)).events;
  }

  // Guards against hosts that keep their traffic although they leave, fail or cannot be reached, and
  // against a data centre whose hosts are moved away during a partition.
  it('observes leaving, reported and missing hosts, and suspects a partition', async () => {
    platform = (await group.startStandin('platform')).address;
    const controller = await group.startDaemon({
      role: 'controller',
      dataCentre: 'd1',
      address: '127.0.0.1:0',
      platform: `http://${platform}`,
    });
    const client = createControllerClient(controller.address);
    // Hosts alternate between the data centres: h1, h3, ... are in d1 and h2, h4, ... in d2.
    const operations = buildInventory(8, 2);
    const live = Array.from({ length: 8 }, (_, at) => ({ host: `h${at + 1}`, state: 'live' }));
    await send('/hosts', live);
    await client.change.mutate({ baseRevision: 0, operations, operator: '' });
    const waitForStatus = (host: string, status: string): Promise<unknown> =>
      waitFor(
        `${host} ${status}`,
        async () => (await client.host.query({ name: host }))?.state.status === status,
        DEADLINE_MS,
      );
    const without = live.filter(({ host }) => Number(host.slice(1)) % 2 === 1);
    await send('/hosts', [{ host: 'h1', state: 'leaving' }, ...without.slice(1)]);
    await waitForStatus('h1', 'leaving');
    await waitFor(
      'the failure of h3, which two gateways report',
      async () => {
        await client.report.mutate({ reporter: 'g1', hosts: ['h3'] });
        await client.report.mutate({ reporter: 'g2', hosts: ['h3'] });
        return (await client.host.query({ name: 'h3' }))?.state.status === 'failed';
      },
      DEADLINE_MS,
    );
    await Promise.all(['h2', 'h4', 'h6', 'h8'].map((host) => waitForStatus(host, 'failed')));
    const suspected = await waitFor('the suspicion', async () =>
      (await listEvents(controller)).find((one) => one.type === 'dataCentre.suspected'),
    );
    assert.equal(suspected.dataCentre, 'd2');
    assert.equal((await client.host.query({ name: 'h5' }))?.state.status, 'live');
  });
});
