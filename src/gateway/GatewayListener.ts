import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Job } from '../job/mod.js';
import type { Exchange } from '../link/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import { findService, type Service } from '../service/mod.js';
import { BodyReader, type BodyReaderOptions } from './BodyReader.js';
import { checkRequest, type JobHeaders } from './checkRequest.js';
import type { GatewayParts } from './GatewayParts.js';
import type { GatewayView } from './GatewayView.js';
import { buildUnknownPathProblem, buildUnavailableProblem } from './_problems.js';
import { JobExchange } from './JobExchange.js';
import { sendClientError } from './_sendClientError.js';
import { sendProblem } from './sendProblem.js';
import { ServiceDispatcher } from './ServiceDispatcher.js';

const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;
const NON_IDEMPOTENT_METHODS = new Set(['POST', 'PATCH']);
const HEADERS_TIMEOUT_MS = 10_000;
const IDLE_TIMEOUT_MS = 60_000;
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/**
 * A connection takes about 20 KB. The limit keeps connections to a fraction of the host's memory.
 */
const MAX_CONNECTIONS = 4_096;
/** A request may be in transit on an idle connection when the listener stops. */
const IDLE_CONNECTION_LINGER_MS = 300;
const STOP_MARGIN_MS = 5_000;
const DEFAULT_JOB_TIMEOUT_MS = 30_000;
const INCOMPLETE_STATE_DETAIL = 'the gateway has no complete state yet';
const PROBE_PATHS = new Set(['/-/ready', '/-/health']);

/** Messages handled by the listener. */
export type GatewayListenerMessage =
  | { type: 'view'; view: GatewayView }
  /** Pauses or resumes sending to upstream hosts. */
  | { type: 'hold'; isHeld: boolean }
  /** Submits a job that another gateway forwarded. */
  | { type: 'submit'; exchange: Exchange };

/** Limits of a listener. */
export interface GatewayListenerOptions {
  body?: BodyReaderOptions;
  maxConnections?: number;
  headersTimeoutMs?: number;
  idleTimeoutMs?: number;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Owns the HTTP server for callers, turns requests into jobs and submits them to dispatchers. */
export class GatewayListener extends Actor<GatewayListenerMessage> {
  readonly #server: Server;

  readonly #parts: GatewayParts;

  readonly #bodyReader: BodyReader;

  #view: GatewayView | undefined;

  readonly #dispatchers = new Map<string, ServiceDispatcher>();

  #inFlight = 0;

  #isHeld = false;

  #isStopping = false;

  /**
   * Whether the fleet state is complete. Until then, a service that is not found may still exist.
   */
  #hasCompleteState = false;

  #onDrained: (() => void) | undefined;

  constructor(scope: ActorScope, parts: GatewayParts, options: GatewayListenerOptions = {}) {
    super(scope, 'gateway-listener');
    this.#parts = parts;
    this.#bodyReader = new BodyReader(options.body);
    this.#server = createServer({
      headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
      // The body reader has its own timeout, and the answer is bounded by the deadline of the job.
      requestTimeout: 0,
      keepAliveTimeout: options.idleTimeoutMs ?? IDLE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true,
    });
    this.#server.maxConnections = options.maxConnections ?? MAX_CONNECTIONS;
    this.#server.on('request', (request, response) => this.#handleRequest(request, response));
    this.#server.on('clientError', sendClientError);
  }

  /** Opens the server and returns its address. */
  open(address: string): Promise<string> {
    return openServer(this.#server, address);
  }

  protected override receive(message: GatewayListenerMessage): void {
    switch (message.type) {
      case 'view':
        this.#updateDispatchers(message.view);
        break;
      case 'hold':
        this.#isHeld = message.isHeld;
        this.#dispatchers.forEach((dispatcher) => dispatcher.send(message));
        break;
      default:
        this.#submitForwarded(message.exchange);
    }
  }

  /**
   * Stops in order: reports not ready and keeps accepting connections for the notice time, then
   * accepts no new ones and waits until all requests in flight are answered or the deadline passes.
   */
  async stop(noticeMs: number): Promise<void> {
    this.#isStopping = true;
    await wait(noticeMs);
    // Unlike the `close` method of the HTTP server, this leaves idle connections open: a request
    // may be in transit on one of them.
    NetServer.prototype.close.call(this.#server);
    const timeouts = this.#view?.services.map(({ service }) => service.jobTimeoutMs) ?? [];
    const maxDrainMs = Math.max(DEFAULT_JOB_TIMEOUT_MS, ...timeouts) + STOP_MARGIN_MS;
    const drainDeadline = performance.now() + maxDrainMs;
    do {
      await this.#waitForDrain(drainDeadline - performance.now());
      await wait(IDLE_CONNECTION_LINGER_MS);
    } while (this.#inFlight > 0 && performance.now() < drainDeadline);
  }

  override async close(): Promise<void> {
    super.close();
    await closeServer(this.#server);
    await Promise.all([...this.#dispatchers.values()].map((dispatcher) => dispatcher.close()));
  }

  /** Waits until no request is in flight. */
  #waitForDrain(timeoutMs: number): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#onDrained = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  #updateDispatchers(view: GatewayView): void {
    const { quotas } = view;
    const names = new Set(view.services.map(({ service }) => service.name));
    this.#view?.services.forEach(({ service }) => {
      if (names.has(service.name)) return;
      // A removed service finishes its running jobs and gets no hosts for new ones.
      const removed = { service, hosts: [], unavailableReason: 'the service was removed' };
      const { nextOffset } = view;
      const message = { type: 'view', view: { ...removed, nextOffset }, quotas } as const;
      this.#dispatchers.get(service.name)?.send(message);
    });
    this.#view = view;
    this.#hasCompleteState ||= view.hasOwnSession;
    view.services.forEach((serviceView) => {
      const { name } = serviceView.service;
      let dispatcher = this.#dispatchers.get(name);
      if (dispatcher === undefined) {
        dispatcher = new ServiceDispatcher(this.scope, name, this.#parts);
        this.#dispatchers.set(name, dispatcher);
        dispatcher.send({ type: 'hold', isHeld: this.#isHeld });
      }
      dispatcher.send({ type: 'view', view: serviceView, quotas });
    });
  }

  #handleRequest(request: IncomingMessage, response: ServerResponse): void {
    if (this.#isStopping) response.shouldKeepAlive = false;
    if (PROBE_PATHS.has(request.url ?? '')) {
      const isReady =
        !this.#isStopping && !this.#isHeld && this.#hasCompleteState && this.#hasShare();
      response.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'not ready\n');
      return;
    }
    this.#trackRequest((listener) => response.once('close', listener));
    this.#submitRequest(request, response).catch((error: Error) => {
      this.scope.reportError(this.name, error);
      response.destroy();
    });
  }

  /**
   * Whether this gateway can run jobs. A session that replaced an ended one has no share of any
   * host until the shares of the ended session are released.
   */
  #hasShare(): boolean {
    if (this.#view === undefined) return false;
    const hosts = this.#view.services.flatMap((service) => service.hosts);
    return hosts.length === 0 || hosts.some(({ slots }) => slots > 0);
  }

  /** Counts a request as in flight until its answer is complete or its connection closes. */
  #trackRequest(addCloseListener: (listener: () => void) => void): void {
    this.#inFlight += 1;
    addCloseListener(() => {
      this.#inFlight -= 1;
      if (this.#inFlight === 0) this.#onDrained?.();
    });
  }

  #submitForwarded(exchange: Exchange): void {
    if (exchange.isAbandoned) return;
    const { service } = exchange.job;
    const dispatcher = this.#dispatchers.get(service);
    if (dispatcher === undefined) {
      exchange.sendProblem(buildUnavailableProblem(`no service "${service}" is known here`));
      return;
    }
    this.#trackRequest((listener) => exchange.addCloseListener(listener));
    dispatcher.send({ type: 'submit', exchange });
  }

  async #submitRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.#parts.clock.readMonotonic();
    const reject = (problem: Parameters<typeof sendProblem>[1]): void => {
      // Closing the connection discards the unread rest of a body.
      response.shouldKeepAlive &&= BodyReader.isEmpty(request) || request.complete;
      this.scope.increaseCounter(`request.refused.${problem.status}`);
      sendProblem(response, problem);
      request.resume();
    };
    const check = checkRequest(request);
    if ('problem' in check) {
      reject(check.problem);
      return;
    }
    const [path = '/'] = (request.url ?? '/').split('?');
    const services = this.#view?.services.map((serviceView) => serviceView.service) ?? [];
    const service = findService(path, services);
    if (service === undefined) {
      reject(
        this.#hasCompleteState
          ? buildUnknownPathProblem(path)
          : buildUnavailableProblem(INCOMPLETE_STATE_DETAIL),
      );
      return;
    }
    const result = await this.#bodyReader.read(request);
    if (result === undefined) return;
    if ('problem' in result) {
      reject(result.problem);
      return;
    }
    const { body } = result;
    if (body.length > 0) response.once('close', () => this.#bodyReader.release(body.length));
    const job = GatewayListener.#createJob(request, { headers: check.headers, service, arrivedAt });
    const exchange = new JobExchange({ job, request, response, body });
    this.scope.recordEvent({
      type: 'request.received',
      request: job.id,
      service: service.name,
      detail: `${request.method} ${path}`,
    });
    exchange.addCloseListener(() => {
      this.scope.recordLatency('request', this.#parts.clock.readMonotonic() - job.arrivedAt);
    });
    this.#dispatchers.get(service.name)?.send({ type: 'submit', exchange });
  }

  static #createJob(
    request: IncomingMessage,
    { headers, service, arrivedAt }: { headers: JobHeaders; service: Service; arrivedAt: number },
  ): Job {
    const hasIdempotentMethod = !NON_IDEMPOTENT_METHODS.has(request.method ?? 'GET');
    return {
      id: randomUUID(),
      service: service.name,
      team: headers['buckthornreach-team'],
      urgency: headers['buckthornreach-urgency'],
      idempotent:
        hasIdempotentMethod ||
        service.idempotent ||
        headers['buckthornreach-idempotent'] === 'true',
      key: headers['idempotency-key'],
      arrivedAt,
      deadline: arrivedAt + (headers['buckthornreach-timeout-ms'] ?? DEFAULT_REQUEST_TIMEOUT_MS),
    };
  }
}
