import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { SystemClock, type Clock } from '../clock/mod.js';
import { IngressSettings } from '../ingress/mod.js';
import { GuardedServer, SilentObserver, type BoundObserver } from '../net/mod.js';
import { relayRouter, type RelayApi } from './RelayRouter.js';

/** A record of a job of 262,144 bytes, escaped twice. */
const MAX_BODY_BYTES = 1_048_576;
/** Bounds for the other nodes; each has at most one request on a connection. */
const SETTINGS = IngressSettings.parse({
  maxRequestsAhead: 4,
  maxHeldBytes: 16_777_216,
  maxConnections: 1_000,
});

/** Options of a `RelayServer`. */
export interface RelayServerOptions {
  observer?: BoundObserver;
  clock?: Clock;
}

/** HTTP server for the calls of other nodes. */
export class RelayServer {
  readonly #server: GuardedServer;

  readonly #handle: ReturnType<typeof createHTTPHandler>;

  constructor(
    api: RelayApi,
    { observer = new SilentObserver(), clock = new SystemClock() }: RelayServerOptions = {},
  ) {
    this.#handle = createHTTPHandler({ router: relayRouter, createContext: () => ({ api }) });
    this.#server = new GuardedServer({
      settings: SETTINGS,
      observer,
      clock,
      handle: (request, response) => this.#serve(request, response),
    });
  }

  /** Opens the server at `IP:port` and returns the address in use. */
  open(address: string): Promise<string> {
    return this.#server.open(address);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body: Buffer;
    try {
      body = await this.#server.readBody(request, MAX_BODY_BYTES);
    } catch {
      // The call was not executed; the other node sees a refusal or a closed connection.
      this.#server.refuse(response);
      return;
    }
    const ended = once(response, 'close');
    // tRPC takes a body that has been read from this field.
    this.#handle(Object.assign(request, { body: body.toString('utf8') }), response);
    await ended;
  }
}
