import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { request } from 'undici';
import { ActorScope } from '../actor/mod.js';
import { ManualClock } from '../clock/mod.js';
import { FleetReplica } from '../fleet/mod.js';
import type { ListedHost } from '../host/mod.js';
import { LogWriter } from '../log/mod.js';
import { fetchObservation, ProcessTimeline } from '../observation/mod.js';
import { decodeRecord } from '../record/mod.js';
import {
  buildEntries,
  buildInventory,
  ProcessGroup,
  RecordingLogClient,
  waitFor,
  type StartedProcess,
} from '../testing/mod.js';
import type { FleetEvent } from '../timeline/mod.js';
import { createControllerClient } from './ControllerClient.js';
import { HostListClient } from './HostListClient.js';
import { HostWatcher } from './HostWatcher.js';

const DEADLINE_MS = 30_000;
/** Turns of the event loop that the actors need to handle a tick. */
const EVENT_LOOP_TURNS = 12;

class CountingHostListClient extends HostListClient {
  fetches = 0;

  readonly #list: ListedHost[];

  constructor(list: ListedHost[]) {
    super();
    this.#list = list;
  }

  override async fetch(): Promise<ListedHost[]> {
    this.fetches += 1;
    return this.#list;
  }

  override async close(): Promise<void> {
    this.fetches = 0;
  }
}

describe('HostWatcher of a high rank', () => {
  // Guards against gateway reports that are not evaluated because the controller that receives
  // them has a high rank and polls less often.
  it('polls on every third tick, and on every tick while gateways report a host', async (test) => {
    const scope = new ActorScope('test', () => {});
    const clock = new ManualClock();
    const replica = new FleetReplica(scope);
    const log = new RecordingLogClient();
    const client = new CountingHostListClient([{ host: 'h1', state: 'live' }]);
    const writer = new LogWriter(scope, { client: log });
    const watcher = new HostWatcher(scope, { replica, writer, client, clock });
    test.after(async () => {
      await watcher.close();
      scope.close();
    });
    const operations = buildInventory(1, 1);
    const change = { changeId: 'c1', baseRevision: 0, part: 1, parts: 1, operator: '', operations };
    const entries = buildEntries([{ type: 'config-change', ...change }]);
    const records = entries.map(decodeRecord).filter((record) => record !== undefined);
    const range = { fromOffset: 0, nextOffset: 1, broken: 0 };
    replica.send({
      type: 'records',
      batch: { ...range, records, isComplete: true, contactAgeMs: 0 },
    });
    watcher.send({ type: 'rank', rank: 5 });
    const run = async (ticks: number): Promise<void> => {
      for (let tick = 0; tick < ticks; tick += 1) {
        watcher.send({ type: 'tick' });
        clock.advance(2_000);
        for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await yieldToEventLoop();
      }
    };
    await run(6);
    assert.equal(client.fetches, 2);
    ['g1', 'g2'].forEach((reporter) =>
      watcher.send({ type: 'report', reporter, isHealthy: false, hosts: ['h1'] }),
    );
    await run(2);
    assert.equal(client.fetches, 4);
    // The rank delay has elapsed by the second tick. The reports expire later, which would change
    // the observation, so the clock does not advance further until the observation is appended.
    await run(2);
    await waitFor('the observation', () => log.bodies.length > 0);
    const observation = { host: 'h1', status: 'failed', source: 'gateways' };
    assert.deepEqual(log.bodies[0], { type: 'host-observed', observations: [observation] });
  });
});

describe('HostWatcher in a controller process', () => {
  const group = new ProcessGroup();
  after(() => group.close());
  let platform = '';

  async function send(path: string, body: object): Promise<void> {
    const url = `http://${platform}${path}`;
    const answer = await request(url, { method: 'PUT', body: JSON.stringify(body) });
    await answer.body.dump();
  }

  async function fetchEvents({ address }: StartedProcess): Promise<FleetEvent[]> {
    const endpoint = { path: 'timeline', schema: ProcessTimeline } as const;
    return (await fetchObservation(address, endpoint)).events;
  }

  // Guards against hosts that keep receiving traffic although they are leaving, failed or
  // unreachable, and against an undetected partition, during which hosts would be moved.
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
    const firstDataCentre = live.filter(({ host }) => Number(host.slice(1)) % 2 === 1);
    await send('/hosts', [{ host: 'h1', state: 'leaving' }, ...firstDataCentre.slice(1)]);
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
    const suspected = await waitFor('the suspected partition', async () =>
      (await fetchEvents(controller)).find((event) => event.type === 'dataCentre.suspected'),
    );
    assert.equal(suspected.dataCentre, 'd2');
    assert.equal((await client.host.query({ name: 'h5' }))?.state.status, 'live');
  });
});
