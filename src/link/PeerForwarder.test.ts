import assert from 'node:assert/strict';
import { createServer, type RequestListener } from 'node:http';
import { after, before, describe, it } from 'node:test';
import { request } from 'undici';
import { ActorScope } from '../actor/mod.js';
import { SystemClock } from '../clock/mod.js';
import { PeerPort } from '../gateway/PeerPort.js';
import { closeServer, openServer } from '../net/mod.js';
import { FixedClaimPolicy, GatewayRig, RecordingForwarder, waitFor } from '../testing/mod.js';
import type { PeerApi } from './PeerApi.js';
import { PeerForwarder } from './PeerForwarder.js';

const KEY = '01890a5d-ac96-774b-bcce-b302099a8057';
const HEADERS = { 'idempotency-key': KEY };

interface Answer {
  status: number;
  outcome: unknown;
}

async function send(rig: GatewayRig, method: 'GET' | 'POST' = 'POST'): Promise<Answer> {
  const { statusCode, headers, body } = await request(rig.url, { method, headers: HEADERS });
  await body.text();
  return { status: statusCode, outcome: headers['buckthornreach-outcome'] };
}

/**
 * Guards against a wrong outcome of a forwarded job, a second hop, and a partial response that the
 * caller takes for a complete one.
 */
describe('PeerForwarder', () => {
  const clock = new SystemClock();
  const scope = new ActorScope('forwarding', (_, error) => assert.fail(error));
  const forwarder = new PeerForwarder(scope, clock);
  const rigs: GatewayRig[] = [];
  const closers: (() => Promise<void>)[] = [];
  const second = new RecordingForwarder();
  let owner: GatewayRig;
  let ownerAddress = '';

  async function openRig(
    options: ConstructorParameters<typeof GatewayRig>[0],
  ): Promise<GatewayRig> {
    const rig = new GatewayRig(options);
    rigs.push(rig);
    await rig.open();
    await waitFor('readiness', async () => {
      const { statusCode, body } = await request(`http://${rig.address}/-/ready`);
      await body.dump();
      return statusCode === 200;
    });
    return rig;
  }

  function openEntry(peerAddress: string): Promise<GatewayRig> {
    const claims = new FixedClaimPolicy({ verdict: 'forward', peerAddress, session: 's' });
    return openRig({ parts: { forwarder, claims } });
  }

  async function openPeer(listener: RequestListener): Promise<string> {
    const server = createServer(listener);
    closers.push(() => closeServer(server));
    return openServer(server, '127.0.0.1:0');
  }

  before(async () => {
    owner = await openRig({ parts: { forwarder: second } });
    const port = new PeerPort(scope, {
      api: undefined as unknown as PeerApi,
      clock,
      answerObservation: () => false,
      onForwarded: (exchange) => owner.listener.send({ type: 'submit', exchange }),
    });
    ownerAddress = await port.open('127.0.0.1:0');
    closers.push(() => port.close());
  });

  after(async () => {
    await forwarder.close();
    await Promise.all(rigs.map((rig) => rig.close()));
    await Promise.all(closers.map((close) => close()));
    scope.close();
  });

  it('passes on the response and the outcome of the owner, and forwards once', async () => {
    const entry = await openEntry(ownerAddress);
    assert.deepEqual(await send(entry), { status: 200, outcome: 'ran' });
    assert.equal(entry.countRuns(), 0);
    assert.equal(owner.countRuns(), 1);
    owner.upstreams.forEach((upstream) => upstream.setBehaviour({ cutting: true }));
    assert.deepEqual(await send(entry), { status: 502, outcome: 'unknown' });
    owner.upstreams.forEach((upstream) => upstream.setBehaviour({}));
    owner.setHosts();
    await waitFor('the view without hosts', async () => (await send(entry)).outcome === 'not-run');
    const gateways = { here: [], a: [{ session: 'owner', peerAddress: ownerAddress }] };
    forwarder.updateView({ dataCentre: 'here', gateways });
    const empty = await openRig({ parts: { forwarder } });
    empty.setHosts();
    await waitFor('the view without hosts', async () => (await send(empty, 'GET')).status === 503);
    assert.equal((await send(empty, 'GET')).outcome, 'not-run');
    assert.deepEqual(second.kinds, []);
  });

  it('reports a refused connection as not run and a cut hop as unknown', async () => {
    const refusing = await openPeer(() => undefined);
    await closers.pop()?.();
    assert.deepEqual(await send(await openEntry(refusing)), { status: 503, outcome: 'not-run' });
    const cutting = await openPeer((incoming) => incoming.socket.destroy());
    assert.deepEqual(await send(await openEntry(cutting)), { status: 502, outcome: 'unknown' });
  });

  it('destroys the connection of the caller when the hop is cut during the response', async () => {
    const address = await openPeer((_, response) => {
      // Without a content length, only the closed connection shows that the response is incomplete.
      response.writeHead(200);
      response.write('part', () => response.destroy());
    });
    await assert.rejects(send(await openEntry(address)));
  });

  it('tries gateways of other data centres until one is reached', async () => {
    let reached = 0;
    const refusing = await openPeer(() => undefined);
    await closers.pop()?.();
    const address = await openPeer((_, response) => {
      reached += 1;
      response.writeHead(200, { 'buckthornreach-outcome': 'ran' }).end();
    });
    const toPeers = (peerAddress: string) => [{ session: peerAddress, peerAddress }];
    const gateways = { here: [], a: toPeers(refusing), b: toPeers(address) };
    forwarder.updateView({ dataCentre: 'here', gateways });
    const entry = await openRig({ parts: { forwarder } });
    entry.setHosts();
    await waitFor('the view without hosts', async () => {
      assert.deepEqual(await send(entry, 'GET'), { status: 200, outcome: 'ran' });
      return entry.countRuns() === 0 && reached >= 2;
    });
  });
});
