import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { request } from 'undici';
import {
  FixedClaimPolicy,
  GatewayRig,
  RecordingForwarder,
  waitFor,
  type GatewayRigOptions,
} from '../testing/mod.js';

const KEY = '01890a5d-ac96-774b-bcce-b302099a8057';

/** Runs a test with a rig, asserts that no message handler failed, and always closes the rig. */
async function runWithRig(
  options: GatewayRigOptions,
  run: (rig: GatewayRig) => Promise<void>,
): Promise<void> {
  const rig = new GatewayRig(options);
  await rig.open();
  try {
    await waitFor('readiness', async () => {
      const { statusCode, body } = await request(`http://${rig.address}/-/ready`);
      await body.dump();
      return statusCode === 200;
    });
    await run(rig);
    assert.deepEqual(rig.faults, []);
  } finally {
    await rig.close();
  }
}

interface SentResult {
  status: number;
  outcome: unknown;
  body: Record<string, unknown>;
}

async function send(url: string, options: Parameters<typeof request>[1] = {}): Promise<SentResult> {
  const { statusCode, headers, body } = await request(url, options);
  return {
    status: statusCode,
    outcome: headers['buckthornreach-outcome'],
    body: (await body.json()) as Record<string, unknown>,
  };
}

function buildPost(headers: Record<string, string> = {}): Parameters<typeof request>[1] {
  return { method: 'POST', body: 'x', headers };
}

/** Sends raw text and collects the response until the connection closes. */
function sendRaw(address: string, text: string): { socket: Socket; answer: Promise<string> } {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk;
  });
  socket.on('error', () => undefined);
  socket.write(text);
  const answer = new Promise<string>((resolve) => {
    socket.once('close', () => resolve(received));
  });
  return { socket, answer };
}

/** Guards against upstream faults that lead to a wrong outcome for the caller or a repeated run. */
describe('faults of upstream hosts', () => {
  it('retries an idempotent job on another host, and no other job that was sent', () =>
    runWithRig({}, async (rig) => {
      // The retry budget is a tenth of the recent jobs.
      await Promise.all(Array.from({ length: 60 }, () => send(rig.url)));
      rig.upstreams[0]?.setBehaviour({ cutting: true });
      const runs = rig.countRuns();
      const gets = await Promise.all([send(rig.url), send(rig.url)]);
      assert.deepEqual(
        gets.map(({ status }) => status),
        [200, 200],
      );
      assert.equal(rig.countRuns() - runs, 3);
      rig.upstreams.forEach((upstream) => upstream.setBehaviour({ cutting: true }));
      const before = rig.countRuns();
      const answer = await send(rig.url, buildPost({ 'idempotency-key': KEY }));
      assert.deepEqual([answer.status, answer.outcome], [502, 'unknown']);
      assert.equal(rig.countRuns() - before, 1);
    }));

  it('reports a refused connection as not run and never a job that was sent', () =>
    runWithRig({ upstreams: 1 }, async (rig) => {
      await rig.upstreams[0]?.close();
      const answer = await send(rig.url, buildPost());
      assert.deepEqual([answer.status, answer.outcome], [503, 'not-run']);
    }));

  it('destroys the connection of the caller when an answer is truncated', () =>
    runWithRig({}, async (rig) => {
      rig.upstreams.forEach((upstream) => upstream.setBehaviour({ truncating: true }));
      await assert.rejects(send(rig.url, buildPost()));
    }));

  it('cancels a slow run at its deadline and does not reuse the connection', () =>
    runWithRig({ upstreams: 1 }, async (rig) => {
      rig.upstreams[0]?.setBehaviour({ serviceMs: 1_000 });
      const slow = await send(rig.url, buildPost({ 'buckthornreach-timeout-ms': '50' }));
      assert.deepEqual([slow.status, slow.outcome], [504, 'unknown']);
      rig.upstreams[0]?.setBehaviour({});
      // On a reused connection, the late answer would be taken for that of the next request.
      const answers = await Promise.all(
        Array.from({ length: 5 }, (_, index) => send(`${rig.url}/${index}`)),
      );
      answers.forEach(({ body }, index) => assert.equal(body.path, `/match/${index}`));
    }));

  it('sends nothing to a host that announces it is leaving, and probes it once after a pause', () =>
    runWithRig({}, async (rig) => {
      const [leaving] = rig.upstreams;
      await Promise.all(Array.from({ length: 40 }, () => send(rig.url)));
      leaving?.setBehaviour({ leaving: true });
      const answers = await Promise.all(Array.from({ length: 4 }, () => send(rig.url)));
      assert.ok(answers.every(({ status }) => status === 200));
      const refused = leaving?.counts.refused ?? 0;
      assert.ok(refused >= 1 && refused <= 3);
      await Promise.all(Array.from({ length: 50 }, () => send(rig.url)));
      assert.equal(leaving?.counts.refused, refused);
      await waitFor('a probe', async () => {
        // Sends one request at a time: the refusal of a probe reaches the caller if no slot is free
        // for a retry.
        await send(rig.url);
        return leaving?.counts.refused === refused + 1;
      });
      await Promise.all(Array.from({ length: 50 }, () => send(rig.url)));
      assert.equal(leaving?.counts.refused, refused + 1);
    }));

  it('ejects a failing host, and none for errors caused by callers', () =>
    runWithRig({ upstreams: 4 }, async (rig) => {
      const [failing] = rig.upstreams;
      failing?.setBehaviour({ failing: true });
      await Promise.all(Array.from({ length: 100 }, () => send(rig.url)));
      const runs = failing?.counts.runs ?? 0;
      await Promise.all(Array.from({ length: 100 }, () => send(rig.url)));
      assert.equal(failing?.counts.runs, runs);
      const ejected = rig.timeline.list().filter(({ type }) => type === 'host.ejected');
      assert.equal(ejected.length, 1);
      rig.upstreams.forEach((upstream) => upstream.setBehaviour({ serviceMs: 200 }));
      await Promise.all(
        Array.from({ length: 120 }, () =>
          send(rig.url, buildPost({ 'buckthornreach-timeout-ms': '20' })),
        ),
      );
      const all = rig.timeline.list().filter(({ type }) => type === 'host.ejected');
      assert.equal(all.length, 1);
    }));

  it('respects shares that change while jobs run, including to 0', () =>
    runWithRig({ upstreams: 1, slots: 4 }, async (rig) => {
      const [upstream] = rig.upstreams;
      upstream?.setBehaviour({ serviceMs: 20 });
      await Promise.all(Array.from({ length: 20 }, () => send(rig.url)));
      assert.equal(upstream?.counts.maxRunning, 4);
      assert.ok((upstream?.counts.maxConnections ?? 9) <= 4);
      rig.setHosts({ connections: 0 });
      const refused = await send(rig.url);
      assert.deepEqual([refused.status, refused.outcome], [503, 'not-run']);
      rig.setHosts({ connections: 1 });
      assert.equal((await send(rig.url)).status, 200);
    }));
});

/** Guards against running a job without a claim, and against forwarding loops. */
describe('claims and forwarding', () => {
  it('runs no job whose claim is refused or belongs to another gateway', async () => {
    const forwarder = new RecordingForwarder();
    const peer = { verdict: 'forward', peerAddress: '127.0.0.1:1', session: 's' } as const;
    await runWithRig({ parts: { forwarder, claims: new FixedClaimPolicy(peer) } }, async (rig) => {
      const answer = await send(rig.url, buildPost({ 'idempotency-key': KEY }));
      assert.deepEqual([answer.status, answer.outcome], [503, 'not-run']);
      assert.deepEqual(forwarder.kinds, ['peer']);
      assert.equal((await send(rig.url, buildPost())).status, 200);
      rig.setHosts();
      assert.equal((await send(rig.url)).outcome, 'not-run');
      assert.deepEqual(forwarder.kinds, ['peer', 'other-data-centre']);
      rig.updateView({ unavailableReason: 'no host has what the pool requires' });
      assert.match(String((await send(rig.url)).body.detail), /no host has/);
      assert.equal(forwarder.kinds.length, 2);
    });
    const used = { verdict: 'refused', outcome: 'unknown', status: 409, reason: 'used' } as const;
    await runWithRig({ parts: { claims: new FixedClaimPolicy(used) } }, async (rig) => {
      const answer = await send(rig.url, buildPost({ 'idempotency-key': KEY }));
      assert.deepEqual([answer.status, answer.outcome], [409, 'unknown']);
      assert.equal(rig.countRuns(), 0);
    });
  });
});

/**
 * Guards against callers that harm others by request smuggling, slow bodies or idle connections.
 */
describe('hostile callers', () => {
  const cases: [string, string, string][] = [
    [
      'Transfer-Encoding',
      '400',
      'POST /match HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    ],
    [
      'Transfer-Encoding',
      '400',
      'POST /match HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n',
    ],
    [
      'Content-Length',
      '400',
      'POST /match HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
    ],
    ['Host', '400', 'GET /match HTTP/1.1\r\nHost: a\r\nHost: b\r\nConnection: close\r\n\r\n'],
    ['path', '400', 'GET http://b/match HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'],
    [
      'buckthornreach-urgency',
      '400',
      'GET /match HTTP/1.1\r\nHost: a\r\nConnection: close\r\nBuckthornreach-Urgency: now\r\n\r\n',
    ],
    [
      'buckthornreach-timeout-ms',
      '400',
      'GET /match HTTP/1.1\r\nHost: a\r\nConnection: close\r\nBuckthornreach-Timeout-Ms: -1\r\n\r\n',
    ],
    [
      'idempotency-key',
      '400',
      'GET /match HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: 7\r\n\r\n',
    ],
    ['Content-Length', '413', 'POST /match HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n'],
    ['body', '408', 'POST /match HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab'],
    ['header', '408', 'GET /match HTTP/1.1\r\nHost: a\r\n'],
  ];
  cases.forEach(([field, status, text]) => {
    it(`refuses with ${status} and names ${field}: ${text.split('\r\n').slice(1).join(' ')}`, () =>
      runWithRig({ listener: { body: { timeoutMs: 100 }, headersTimeoutMs: 100 } }, async (rig) => {
        const answer = await sendRaw(rig.address, text).answer;
        assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
        assert.match(answer, /application\/problem\+json/);
        assert.match(answer, new RegExp(`"field":"${field}"`));
        assert.equal(rig.countRuns(), 0);
      }));
  });

  it('bounds buffered bodies, takes no slot for a slow body and releases a cancelled one', () =>
    runWithRig(
      { upstreams: 1, slots: 1, listener: { body: { maxBufferedBytes: 1_000 } } },
      async (rig) => {
        const head = 'POST /match HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n';
        const slow = sendRaw(rig.address, `${head}${'x'.repeat(800)}`);
        await waitFor('a refusal', async () => {
          const answer = await send(rig.url, { method: 'POST', body: 'y'.repeat(700) });
          return answer.status === 503 && answer.body.field === 'body';
        });
        assert.equal((await send(rig.url)).status, 200);
        slow.socket.destroy();
        await waitFor(
          'free room',
          async () =>
            (await send(rig.url, { method: 'POST', body: 'y'.repeat(700) })).status === 200,
        );
      },
    ));

  it('forwards no hop-by-hop or internal header, and sets its own', () =>
    runWithRig({}, async (rig) => {
      const { answer } = sendRaw(
        rig.address,
        'GET /match HTTP/1.1\r\nHost: a\r\nConnection: close, x-request-id, x-a\r\nX-A: 1\r\nTE: trailers\r\nBuckthornreach-Forged: 1\r\nX-B: 2\r\n\r\n',
      );
      const text = await answer;
      const { headers, id } = JSON.parse(text.slice(text.indexOf('\r\n\r\n'))) as {
        id: string;
        headers: Record<string, string>;
      };
      assert.equal(headers['x-b'], '2');
      ['x-a', 'te', 'buckthornreach-forged'].forEach((name) => assert.ok(!(name in headers), name));
      assert.match(id, /^[0-9a-f-]{36}$/);
    }));

  it('disconnects a caller that does not read, so that its slot becomes free', () =>
    runWithRig({ upstreams: 1, slots: 1 }, async (rig) => {
      rig.upstreams[0]?.setBehaviour({ paddingBytes: 30_000_000 });
      const { socket } = sendRaw(rig.address, 'GET /match HTTP/1.1\r\nHost: a\r\n\r\n');
      socket.pause();
      await waitFor('the run', () => rig.countRuns() === 1);
      rig.upstreams[0]?.setBehaviour({});
      const headers = { 'buckthornreach-timeout-ms': '9000' };
      assert.equal((await send(rig.url, { headers })).status, 200);
      socket.destroy();
    }));
});
