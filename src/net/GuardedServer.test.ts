import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { connect, type Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { SystemClock } from '../clock/mod.js';
import { IngressSettings } from '../ingress/mod.js';
import { waitFor } from '../testing/waitFor.js';
import { GuardedServer } from './GuardedServer.js';
import { parseAddress } from './parseAddress.js';
import { SilentObserver } from './SilentObserver.js';

const REQUEST = 'GET /job HTTP/1.1\r\nhost: a\r\n\r\n';

/** A guarded server that reads the body and answers with its path and size. */
class EchoServer {
  readonly sockets: Socket[] = [];

  /** Releases of requests that are held until the test continues. */
  readonly held: (() => void)[] = [];

  holds = false;

  startedCount = 0;

  readonly guarded: GuardedServer;

  constructor(settings: object = {}) {
    this.guarded = new GuardedServer({
      settings: IngressSettings.parse(settings),
      observer: new SilentObserver(),
      clock: new SystemClock(),
      handle: async (request, response) => {
        this.startedCount += 1;
        const size = await this.#read(request);
        if (this.holds) {
          await new Promise<void>((resolve) => {
            this.held.push(resolve);
          });
        }
        if (size === undefined) this.guarded.refuse(response);
        else response.end(`${request.url} ${size};`);
      },
    });
  }

  /** Connects and sends a text; the result grows as the response arrives. */
  async send(address: string, text: string): Promise<{ text: string; socket: Socket }> {
    const socket = connect(parseAddress(address));
    this.sockets.push(socket);
    const result = { text: '', socket };
    socket.on('data', (chunk) => {
      result.text += chunk.toString('utf8');
    });
    socket.on('error', () => {});
    await once(socket, 'connect');
    socket.write(text);
    return result;
  }

  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    await this.guarded.close();
  }

  async #read(request: IncomingMessage): Promise<number | undefined> {
    try {
      return (await this.guarded.readBody(request, 1_000_000)).length;
    } catch {
      return undefined;
    }
  }
}

describe('GuardedServer', () => {
  const servers: EchoServer[] = [];
  afterEach(() => Promise.all(servers.splice(0).map((server) => server.close())));

  async function open(settings: object = {}): Promise<{ server: EchoServer; address: string }> {
    const server = new EchoServer(settings);
    servers.push(server);
    return { server, address: await server.guarded.open('127.0.0.1:0') };
  }

  // Guards against the refusal of callers that send a few requests ahead.
  it('serves requests that are sent ahead one by one and in order', async () => {
    const { server, address } = await open();
    server.holds = true;
    const post = 'POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n\r\n';
    const result = await server.send(address, REQUEST + post + 'x'.repeat(100_000) + REQUEST);
    for (let count = 1; count <= 3; count += 1) {
      await waitFor('a request to be held', () => server.held.length === count);
      assert.equal(server.startedCount, count);
      server.held.at(-1)?.();
    }
    await waitFor('all responses', () => result.text.split(';').length === 4);
    assert.match(result.text, /\/job 0;[^]*\/2 100000;[^]*\/job 0;$/);
    assert.equal(server.guarded.budget.openRequests, 0);
  });

  // Guards against requests that run although their connection was closed before they started.
  it('closes a connection with too many requests ahead and starts none of them', async () => {
    const { server, address } = await open({ maxRequestsAhead: 2 });
    server.holds = true;
    const result = await server.send(address, REQUEST.repeat(10));
    await waitFor('the connection to be closed', () => result.socket.destroyed);
    server.held.forEach((release) => release());
    const next = await server.send(address, REQUEST);
    await waitFor('the next request', () => server.held.length === 2);
    server.held[1]?.();
    await waitFor('a response', () => next.text.includes('/job 0;'));
    assert.equal(server.startedCount, 2);
  });

  it('refuses with 503, Retry-After and close when the process is at its bounds', async () => {
    const { server, address } = await open({ maxOpenRequests: 1 });
    server.holds = true;
    await server.send(address, REQUEST);
    await waitFor('the first request', () => server.held.length === 1);
    const refused = await server.send(address, REQUEST);
    await waitFor('the refusal', () => refused.text.includes('nothing was run'));
    assert.match(refused.text, /^HTTP\/1.1 503[^]*retry-after: 1\r\n[^]*connection: close/i);
    assert.equal(server.startedCount, 1);
  });

  it('releases what a connection has occupied when it is closed', async () => {
    const { server, address } = await open();
    const head = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9000\r\n\r\n';
    const { socket } = await server.send(address, `${head}xxxx`);
    await waitFor('the body', () => server.guarded.budget.heldBytes > 0);
    socket.destroy();
    await waitFor('the release', () => server.guarded.budget.heldBytes === 0);
    assert.equal(server.guarded.budget.connections.size, 0);
  });
});
