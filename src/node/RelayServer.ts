import { createServer, type Server } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { closeServer, openServer } from '../net/mod.js';
import { relayRouter, type RelayApi } from './RelayRouter.js';

/** HTTP server for the calls of other nodes. */
export class RelayServer {
  readonly #server: Server;

  constructor(api: RelayApi) {
    const handle = createHTTPHandler({ router: relayRouter, createContext: () => ({ api }) });
    this.#server = createServer((request, response) => {
      handle(request, response);
    });
  }

  /** Opens the server at `IP:port` and returns the address in use. */
  open(address: string): Promise<string> {
    return openServer(this.#server, address);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
