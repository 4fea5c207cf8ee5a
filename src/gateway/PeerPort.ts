import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import type { Job } from '../job/mod.js';
import { decodeForwardedJob, FORWARDED_JOB_HEADER, peerRouter } from '../link/mod.js';
import type { PeerApi } from '../link/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import { sendProblem } from './sendProblem.js';

/** The gateway that forwarded a request has checked its body against the callers' limit. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** A job that another gateway forwarded, with its body read. */
export interface ForwardedRequest {
  job: Job;
  request: IncomingMessage;
  body: Buffer;
  response: ServerResponse;
}

/** Messages of the port. */
export interface PeerPortMessage {
  type: 'request';
  request: IncomingMessage;
  response: ServerResponse;
}

/** Options of the port. */
export interface PeerPortOptions {
  api: PeerApi;
  clock: Clock;
  onForwarded: (forwarded: ForwardedRequest) => void;
}

/** Owns the server for other gateways: their calls and the requests that they forward. */
export class PeerPort extends Actor<PeerPortMessage> {
  readonly #options: PeerPortOptions;

  readonly #server: Server;

  readonly #handleCall: (request: IncomingMessage, response: ServerResponse) => void;

  constructor(scope: ActorScope, options: PeerPortOptions) {
    super(scope, 'peer-port');
    this.#options = options;
    const { api } = options;
    this.#handleCall = createHTTPHandler({ router: peerRouter, createContext: () => ({ api }) });
    this.#server = createServer((request, response) =>
      this.send({ type: 'request', request, response }),
    );
  }

  /** Opens the server and returns its address. */
  open(address: string): Promise<string> {
    return openServer(this.#server, address);
  }

  protected override receive({ request, response }: PeerPortMessage): void {
    const header = request.headers[FORWARDED_JOB_HEADER];
    if (typeof header !== 'string') {
      this.#handleCall(request, response);
      return;
    }
    this.#readForwarded(header, request, response).catch(() => response.destroy());
  }

  override async close(): Promise<void> {
    super.close();
    await closeServer(this.#server);
  }

  async #readForwarded(
    header: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const job = decodeForwardedJob(header, this.#options.clock.readMonotonic());
    const chunks: Buffer[] = [];
    let size = 0;

    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk as Buffer);
    }
    if (job === undefined || size > MAX_BODY_BYTES) {
      const title = 'The forwarded request is broken';
      sendProblem(response, { type: 'about:blank', title, status: 400, outcome: 'not-run' });
      return;
    }
    this.#options.onForwarded({ job, request, body: Buffer.concat(chunks), response });
  }
}
