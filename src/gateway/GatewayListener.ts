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
import { buildPathProblem, buildUnusableProblem } from './_problems.js';
import { JobExchange } from './JobExchange.js';
import { sendClientError } from './_sendClientError.js';
import { sendProblem } from './sendProblem.js';
import { ServiceDispatcher } from './ServiceDispatcher.js';

const DEFAULT_TIMEOUT_MS = 30_000;
const NON_IDEMPOTENT_METHODS = new Set(['POST', 'PATCH']);
const HEADERS_DEADLINE_MS = 10_000;
const IDLE_DEADLINE_MS = 60_000;
const CHECK_INTERVAL_MS = 1_000;
/** Connections take about 20 KB each; this bounds them to a part of the memory of an entry host. */
const MAX_CONNECTIONS = 4_096;
/** A request may be on its way on an idle connection when the listener stops. */
const LINGER_MS = 300;
const STOP_MARGIN_MS = 5_000;
const DEFAULT_JOB_TIMEOUT_MS = 30_000;
const NO_STATE = 'the gateway has no complete state yet';
const PROBE_PATHS = new Set(['/-/ready', '/-/health']);

/** Messages of the listener. */
export type GatewayListenerMessage =
  | { type: 'view'; view: GatewayView }
  /** While held, nothing is sent to upstream hosts. */
  | { type: 'hold'; isHeld: boolean }
  /** A job that another gateway passed on. */
  | { type: 'submit'; exchange: Exchange };

/** Bounds of a listener. */
export interface GatewayListenerOptions {
  body?: BodyReaderOptions;
  maxConnections?: number;
  headersDeadlineMs?: number;
  idleDeadlineMs?: number;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Owns the server for callers: reads requests, makes jobs of them and submits them. */
export class GatewayListener extends Actor<GatewayListenerMessage> {
  readonly #server: Server;

  readonly #parts: GatewayParts;

  readonly #bodies: BodyReader;

  #view: GatewayView | undefined;

  readonly #dispatchers = new Map<string, ServiceDispatcher>();

  #inFlight = 0;

  #isHeld = false;

  #isStopping = false;

  /** False while the state is still being read, when a service that is missing may exist. */
  #isComplete = false;

  #onDrained: (() => void) | undefined;

  constructor(scope: ActorScope, parts: GatewayParts, options: GatewayListenerOptions = {}) {
    super(scope, 'gateway-listener');
    this.#parts = parts;
    this.#bodies = new BodyReader(options.body);
    this.#server = createServer({
      headersTimeout: options.headersDeadlineMs ?? HEADERS_DEADLINE_MS,
      // The body has a deadline of its own; the answer has the deadline of the job.
      requestTimeout: 0,
      keepAliveTimeout: options.idleDeadlineMs ?? IDLE_DEADLINE_MS,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      noDelay: true,
    });
    this.#server.maxConnections = options.maxConnections ?? MAX_CONNECTIONS;
    this.#server.on('request', (request, response) => this.#handle(request, response));
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
   * Stops in order: not ready, accepting for the notice time, then no new connections, until every
   * request in flight has its answer or the bound has passed.
   */
  async stop(noticeMs: number): Promise<void> {
    this.#isStopping = true;
    await wait(noticeMs);
    // Unlike the method of the HTTP server, this leaves idle connections open: a request may be on
    // its way on one of them.
    NetServer.prototype.close.call(this.#server);
    const timeouts = this.#view?.services.map(({ service }) => service.jobTimeoutMs) ?? [];
    const boundMs = Math.max(DEFAULT_JOB_TIMEOUT_MS, ...timeouts) + STOP_MARGIN_MS;
    const bound = performance.now() + boundMs;
    do {
      await this.#drain(bound - performance.now());
      await wait(LINGER_MS);
    } while (this.#inFlight > 0 && performance.now() < bound);
  }

  override async close(): Promise<void> {
    super.close();
    await closeServer(this.#server);
    await Promise.all([...this.#dispatchers.values()].map((dispatcher) => dispatcher.close()));
  }

  /** Waits until no request is in flight. */
  #drain(boundMs: number): Promise<void> {
    if (this.#inFlight === 0) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, boundMs);
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
      // A service that was removed finishes its jobs, without hosts for new ones.
      const removed = { service, hosts: [], obstacle: 'the service was removed' };
      const { nextOffset } = view;
      const message = { type: 'view', view: { ...removed, nextOffset }, quotas } as const;
      this.#dispatchers.get(service.name)?.send(message);
    });
    this.#view = view;
    this.#isComplete ||= view.isOpen;
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

  #handle(request: IncomingMessage, response: ServerResponse): void {
    if (this.#isStopping) response.shouldKeepAlive = false;
    if (PROBE_PATHS.has(request.url ?? '')) {
      const isReady = !this.#isStopping && !this.#isHeld && this.#isComplete && this.#hasShare();
      response.writeHead(isReady ? 200 : 503).end(isReady ? 'ready\n' : 'not ready\n');
      return;
    }
    this.#countRequest((listener) => response.once('close', listener));
    this.#read(request, response).catch((error: Error) => {
      this.scope.reportError(this.name, error);
      response.destroy();
    });
  }

  /**
   * Whether jobs can run: a session that took the place of an ended one has no share of any host
   * until those of the ended one are released.
   */
  #hasShare(): boolean {
    if (this.#view === undefined) return false;
    const hosts = this.#view.services.flatMap((service) => service.hosts);
    return hosts.length === 0 || hosts.some(({ slots }) => slots > 0);
  }

  /** Counts a request as in flight until its connection closes or its answer has ended. */
  #countRequest(addCloseListener: (listener: () => void) => void): void {
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
      exchange.sendProblem(buildUnusableProblem(`no service "${service}" is known here`));
      return;
    }
    this.#countRequest((listener) => exchange.addCloseListener(listener));
    dispatcher.send({ type: 'submit', exchange });
  }

  async #read(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.#parts.clock.readMonotonic();
    const refuse = (problem: Parameters<typeof sendProblem>[1]): void => {
      // The rest of a body that is not wanted ends with the connection.
      response.shouldKeepAlive &&= BodyReader.isEmpty(request) || request.complete;
      this.scope.increaseCounter(`request.refused.${problem.status}`);
      sendProblem(response, problem);
      request.resume();
    };
    const check = checkRequest(request);
    if ('problem' in check) {
      refuse(check.problem);
      return;
    }
    const [path = '/'] = (request.url ?? '/').split('?');
    const services = this.#view?.services.map((one) => one.service) ?? [];
    const service = findService(path, services);
    if (service === undefined) {
      refuse(this.#isComplete ? buildPathProblem(path) : buildUnusableProblem(NO_STATE));
      return;
    }
    const result = await this.#bodies.read(request);
    if (result === undefined) return;
    if ('problem' in result) {
      refuse(result.problem);
      return;
    }
    const { body } = result;
    if (body.length > 0) response.once('close', () => this.#bodies.release(body.length));
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
    const isSafe = !NON_IDEMPOTENT_METHODS.has(request.method ?? 'GET');
    return {
      id: randomUUID(),
      service: service.name,
      team: headers['buckthornreach-team'],
      urgency: headers['buckthornreach-urgency'],
      idempotent: isSafe || service.idempotent || headers['buckthornreach-idempotent'] === 'true',
      key: headers['idempotency-key'],
      arrivedAt,
      deadline: arrivedAt + (headers['buckthornreach-timeout-ms'] ?? DEFAULT_TIMEOUT_MS),
    };
  }
}
