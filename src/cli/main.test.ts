import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ProcessGroup, waitFor } from '../testing/mod.js';

/** Guards against a broken request or response path between callers and upstream hosts. */
describe('the request path across separate processes', () => {
  const group = new ProcessGroup();
  let gateway = '';
  let controller = '';

  before(async () => {
    const platform = await group.startStandin('platform');
    const upstreams = await Promise.all(
      ['h1', 'h2'].map((name) => group.startStandin('upstream', name)),
    );
    const api = await group.startDaemon({
      role: 'controller',
      dataCentre: 'rennes-1',
      address: '127.0.0.1:0',
      platform: `http://${platform.address}`,
    });
    controller = api.address;
    const front = await group.startDaemon({
      role: 'gateway',
      dataCentre: 'rennes-1',
      address: '127.0.0.1:0',
      peerAddress: '127.0.0.1:0',
      controllers: [controller],
    });
    gateway = front.address;
    const fleet = {
      dataCentres: [{ name: 'rennes-1', region: 'brittany' }],
      hosts: upstreams.map((upstream, index) => ({
        name: `h${index + 1}`,
        dataCentre: 'rennes-1',
        rack: 'r1',
        address: upstream.address,
      })),
      pools: [{ name: 'match', need: 2 }],
      services: [{ name: 'match', pathPrefix: '/match', pool: 'match' }],
    };
    const file = group.writeFile('fleet.jsonc', `// inventory\n${JSON.stringify(fleet)}`);
    const applied = await group.runCommand('apply', file, '--controller', controller);
    assert.equal(applied.code, 0, applied.stderr);
  });

  after(() => group.close());

  it('returns the complete response of an upstream host with its outcome', async () => {
    const answer = await waitFor('an answer', async () => {
      const one = await request(`http://${gateway}/match/42`, { method: 'POST', body: 'voice' });
      if (one.statusCode === 200) return one;
      await one.body.dump();
      return undefined;
    });
    assert.equal(answer.headers['buckthornreach-outcome'], 'ran');
    const body = (await answer.body.json()) as Record<string, unknown>;
    assert.equal(body.path, '/match/42');
    assert.equal(body.received, 5);
  });

  it('rejects a path without a service as not run', async () => {
    const answer = await request(`http://${gateway}/other`);
    assert.equal(answer.statusCode, 404);
    assert.equal(((await answer.body.json()) as { outcome: string }).outcome, 'not-run');
  });

  it('reports every finding of an invalid file and changes nothing', async () => {
    const broken = '{\n  "pools": [{ "name": "A b", "need": -1 }],\n  "hots": []\n}';
    const file = group.writeFile('broken.jsonc', broken);
    const unchanged = await group.runCommand('fleet', '--controller', controller);
    const applied = await group.runCommand('apply', file, '--controller', controller);
    assert.equal(applied.code, 2);
    assert.match(applied.stderr, /:2:23: error: pools\.0\.name/);
    assert.match(applied.stderr, /pools\.0\.need/);
    assert.match(applied.stderr, /hots/);
    const now = await group.runCommand('fleet', '--controller', controller);
    assert.equal(now.stdout, unchanged.stdout);
  });
});
