import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '../clock/mod.js';
import {
  ProcessBudget,
  WaitLimits,
  type ConnectionBudget,
  type IngressBound,
  type IngressSettings,
  type Relief,
} from '../ingress/mod.js';
import type { BoundObserver } from './BoundObserver.js';
import { BoundReachedError } from './BoundReachedError.js';
import { GuardedConnection, type Exchange } from './_GuardedConnection.js';
import { paceParserInput } from './_paceParserInput.js';
import { readBody } from './_readBody.js';
import { closeServer, openServer } from './openServer.js';

/** Interval in ms at which connections are checked for progress and time limits. */
const CHECK_INTERVAL_MS = 250;
const MS_PER_SECOND = 1_000;
const DEFAULT_LIMITS = WaitLimits.parse({});
const EMPTY_BODY = Buffer.alloc(0);

/** Checks whether a request has a body: without both headers it ends with its header. */
function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Options of a `GuardedServer`. */
export interface GuardedServerOptions {
  settings: IngressSettings;
  /** Maximum number of open descriptors of the process; unknown if absent. */
  descriptorLimit?: number | undefined;
  observer: BoundObserver;
  clock: Clock;
  /** Serves a request. It resolves when the response has been written, and does not reject. */
  handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** Reads the time limits in force, which may change; by default those of `WaitLimits`. */
  readLimits?: () => WaitLimits;
}

/**
 * HTTP server within bounds for each connection and for the process.
 *
 * It serves one request of a connection at a time and closes connections beyond their bounds. A
 * request that has not been started when its connection is closed has not run.
 */
export class GuardedServer {
  readonly #options: GuardedServerOptions;

  readonly #server: Server;

  readonly #budget: ProcessBudget;

  readonly #connections = new Map<Socket, GuardedConnection>();

  /** The connection of each budget. */
  readonly #owners = new Map<ConnectionBudget, GuardedConnection>();

  #timer: NodeJS.Timeout | undefined;

  constructor(options: GuardedServerOptions) {
    this.#options = options;
    const { settings, descriptorLimit } = options;
    this.#budget = new ProcessBudget(
      settings,
      descriptorLimit === undefined ? {} : { descriptorLimit },
    );
    this.#server = createServer({
      maxHeaderSize: settings.maxHeaderBytes,
      // The server would answer 408, also to a connection that has sent nothing.
      headersTimeout: 0,
      requestTimeout: 0,
    });
    this.#server.on('connection', (socket: Socket) => this.#addConnection(socket));
    this.#server.on('request', (request: IncomingMessage, response: ServerResponse) =>
      this.#addRequest(request, response),
    );
  }

  /** What the connections occupy. */
  get budget(): ProcessBudget {
    return this.#budget;
  }

  /** Opens the server at `IP:port` and returns the address in use. */
  async open(address: string): Promise<string> {
    this.#applyLimits();
    const opened = await openServer(this.#server, address);
    this.#timer = setInterval(() => this.#checkConnections(), CHECK_INTERVAL_MS);
    return opened;
  }

  close(): Promise<void> {
    clearInterval(this.#timer);
    return closeServer(this.#server);
  }

  /**
   * Reads the body of a request that is being served.
   *
   * @throws `BodyTooLargeError` beyond `limit` bytes, `BoundReachedError` if the process is at its
   *   bounds, and the error of the connection. In each case the request must not be executed.
   */
  async readBody(request: IncomingMessage, limit: number): Promise<Buffer> {
    const connection = this.#connections.get(request.socket);
    const body = hasBody(request)
      ? await readBody(request, {
          limit,
          onChunk: (bytes) => {
            connection?.budget.addBody(bytes);
            if (connection !== undefined) this.#requireBounds(connection);
          },
        })
      : EMPTY_BODY;
    connection?.budget.markComplete(this.#options.clock.readMonotonic());
    return body;
  }

  #addConnection(socket: Socket): void {
    const { clock } = this.#options;
    const budget = this.#budget.openConnection(clock.readMonotonic());
    const connection = new GuardedConnection(socket, {
      budget,
      serve: (one, exchange) => this.#serve(one, exchange),
      readClock: () => clock.readMonotonic(),
    });
    paceParserInput(socket, () => connection.recordInput());
    this.#connections.set(socket, connection);
    this.#owners.set(budget, connection);
    socket.once('close', () => this.#removeConnection(socket, connection));
    const relief = this.#budget.chooseConnectionRelief(budget);
    if (relief.type === 'refuse') this.#closeConnection(connection, relief.bound);
    else this.#apply(relief);
  }

  #removeConnection(socket: Socket, connection: GuardedConnection): void {
    connection.close();
    this.#budget.closeConnection(connection.budget);
    this.#connections.delete(socket);
    this.#owners.delete(connection.budget);
  }

  #addRequest(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#connections.get(request.socket);
    // The parser delivers the rest of its input after the connection has been closed.
    if (connection === undefined || request.socket.destroyed) return;
    connection.add(request, response);
    connection.startNext();
    const bound = connection.update();
    if (bound !== undefined) this.#closeConnection(connection, bound);
    else if (connection.budget.requestsAhead > 0) this.#shed(connection);
  }

  async #serve(connection: GuardedConnection, { request, response }: Exchange): Promise<void> {
    if (this.#shed(connection) !== undefined) this.refuse(response);
    else await this.#options.handle(request, response);
  }

  /** Refuses a request that has not run because the process is at its bounds. */
  refuse(response: ServerResponse): void {
    const retryAfterS = Math.ceil(this.#options.settings.retryAfterMs / MS_PER_SECOND);
    response.writeHead(503, {
      'content-type': 'application/json',
      'retry-after': String(retryAfterS),
      connection: 'close',
    });
    response.end(JSON.stringify({ title: 'the node is at its limits; nothing was run' }));
  }

  /** Closes other connections until the process is within its bounds, or throws. */
  #requireBounds(connection: GuardedConnection): void {
    const bound = this.#shed(connection);
    if (bound !== undefined) throw new BoundReachedError(bound);
  }

  /**
   * Closes other connections until the process is within its bounds. Returns the bound for which the
   * request of this connection must be refused, if any.
   */
  #shed(connection: GuardedConnection): IngressBound | undefined {
    for (;;) {
      const relief = this.#budget.chooseRelief(connection.budget);
      if (relief.type === 'none') return undefined;
      if (relief.type === 'refuse') {
        this.#options.observer.report(relief.bound, 'refuse');
        return relief.bound;
      }
      this.#apply(relief);
    }
  }

  #apply(relief: Relief): void {
    if (relief.type !== 'close') return;
    const found = this.#owners.get(relief.connection);
    if (found !== undefined) this.#closeConnection(found, relief.bound);
  }

  /** The budget is updated at once, since the event of the socket follows later. */
  #closeConnection(connection: GuardedConnection, bound: IngressBound): void {
    this.#budget.closeConnection(connection.budget);
    connection.close();
    this.#options.observer.report(bound, 'close');
  }

  /** Closes a connection without a response if its caller has exceeded a time limit. */
  #closeTimedOut(connection: GuardedConnection, limits: WaitLimits): void {
    const timeout = connection.findTimeout(limits);
    if (timeout === undefined) return;
    this.#budget.closeConnection(connection.budget);
    connection.close();
    this.#options.observer.countTimeout(timeout);
  }

  /** Applies the time limits to the server, which announces the idle timeout to clients. */
  #applyLimits(): WaitLimits {
    const limits = this.#options.readLimits?.() ?? DEFAULT_LIMITS;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    return limits;
  }

  #checkConnections(): void {
    const limits = this.#applyLimits();
    this.#connections.forEach((connection) => {
      const bound = connection.update();
      if (connection.budget.isClosed) return;
      if (bound !== undefined) this.#closeConnection(connection, bound);
      else this.#closeTimedOut(connection, limits);
    });
    this.#options.observer.show(this.#budget);
  }
}
