import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionBudget, IngressBound, WaitLimits, WaitTimeout } from '../ingress/mod.js';
import { measureHead } from './measureHead.js';

/** A request and the response to it, to be written by its handler. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
  headBytes: number;
}

/** Options of a `GuardedConnection`. */
export interface GuardedConnectionOptions {
  budget: ConnectionBudget;
  /** Serves a request; the next one of the connection is started when it has been answered. */
  serve: (connection: GuardedConnection, exchange: Exchange) => Promise<void>;
  readClock: () => number;
}

/** One connection of a caller: owns its socket and the requests that wait, and serves them in order. */
export class GuardedConnection {
  readonly budget: ConnectionBudget;

  readonly #socket: Socket;

  readonly #options: GuardedConnectionOptions;

  readonly #waiting: Exchange[] = [];

  /** The request that arrived last, whose body may not be complete. */
  #newest: IncomingMessage | undefined;

  /** A request has arrived, or its body was incomplete, when the last input began. */
  #isWithinRequest = false;

  #isServing = false;

  constructor(socket: Socket, options: GuardedConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.budget = options.budget;
  }

  /** Adds a request that has arrived. It is started when those before it have been answered. */
  add(request: IncomingMessage, response: ServerResponse): void {
    const headBytes = measureHead(request);
    this.#waiting.push({ request, response, headBytes });
    this.budget.addRequest(headBytes);
    this.#newest = request;
    this.#isWithinRequest = true;
  }

  /**
   * Marks the begin of a header if the last input belongs to no request that has arrived. The begin
   * of a header in the same input as the end of a request is noticed with its next bytes.
   */
  recordInput(): void {
    if (!this.#isWithinRequest) this.budget.markHeader(this.#options.readClock());
    this.#isWithinRequest = this.#newest?.complete === false;
  }

  /** Starts the next request, unless one is being served. */
  startNext(): void {
    if (this.#isServing || this.#socket.destroyed || !this.#socket.writable) return;
    const exchange = this.#waiting.shift();
    if (exchange === undefined) return;
    this.#isServing = true;
    this.budget.startRequest(exchange.headBytes, this.#options.readClock());
    const answered = new Promise<void>((resolve) => {
      exchange.response.once('close', resolve);
    });
    // Without a connection there is no response to wait for.
    const served = this.#options.serve(this, exchange);
    served
      .then(() => (this.#socket.destroyed ? undefined : answered))
      .finally(() => {
        this.#isServing = false;
        this.budget.finishRequest(this.#options.readClock());
        this.startNext();
      });
  }

  /** Updates the budget from the socket and returns the bound that is exceeded, if any. */
  update(): IngressBound | undefined {
    const { bytesRead, bytesWritten, writableLength } = this.#socket;
    const aheadBodyBytes = this.#waiting.reduce(
      (sum, { request }) => sum + request.readableLength,
      0,
    );
    return this.budget.update({
      movedBytes: bytesRead + bytesWritten - writableLength,
      unreadBytes: writableLength,
      aheadBodyBytes,
      nowMs: this.#options.readClock(),
    });
  }

  /** Finds the time limit that the caller has exceeded while no request is open, if any. */
  findTimeout(limits: WaitLimits): WaitTimeout | undefined {
    return this.budget.findTimeout(limits, this.#options.readClock());
  }

  /** Closes the connection; requests that wait are dropped and have not run. */
  close(): void {
    this.#waiting.length = 0;
    this.#socket.destroy();
  }
}
