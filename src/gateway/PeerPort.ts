import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import { decodeForwardedJob, FORWARDED_JOB_HEADER, peerRouter } from '../link/mod.js';
import type { Exchange, PeerApi } from '../link/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import { BodyReader } from './BodyReader.js';
import { JobExchange } from './JobExchange.js';
import { sendProblem } from './sendProblem.js';

/** Buffered bodies of forwarded requests, in addition to those of callers. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;

/** A request received by the peer port. */
export interface PeerPortMessage {
  type: 'request';
  request: IncomingMessage;
  response: ServerResponse;
}

/** Options of the peer port. */
export interface PeerPortOptions {
  api: PeerApi;
  clock: Clock;
  /** Answers a request for the observation pages of this process. Returns false for other paths. */
  answerObservation: (request: IncomingMessage, response: ServerResponse) => boolean;
  onForwarded: (exchange: Exchange) => void;
}

/**
 * Owns the HTTP server for other processes of the system. It serves the observation pages of this
 * process, calls from gateways and controllers, and jobs forwarded by gateways.
 */
export class PeerPort extends Actor<PeerPortMessage> {
  readonly #options: PeerPortOptions;

  readonly #server: Server;

  readonly #bodyReader = new BodyReader({ maxBufferedBytes: MAX_BUFFERED_BYTES });

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
    if (this.#options.answerObservation(request, response)) return;
    const header = request.headers[FORWARDED_JOB_HEADER];
    if (typeof header !== 'string') {
      this.#handleCall(request, response);
      return;
    }
    this.#readForwarded(header, request, response).catch((error: Error) => {
      this.scope.reportError(this.name, error);
      response.destroy();
    });
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
    const result = await this.#bodyReader.read(request);
    if (result === undefined) return;
    if ('problem' in result) {
      sendProblem(response, result.problem);
      return;
    }
    const { body } = result;
    if (body.length > 0) response.once('close', () => this.#bodyReader.release(body.length));
    if (job === undefined) {
      const title = 'The forwarded request is broken';
      sendProblem(response, { type: 'about:blank', title, status: 400, outcome: 'not-run' });
      return;
    }
    this.#options.onForwarded(new JobExchange({ job, request, response, body }));
  }
}
