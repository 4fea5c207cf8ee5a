import { randomUUID } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Clock } from '../clock/mod.js';
import { Urgency, type Job } from '../job/mod.js';
import { closeServer, openServer } from '../net/mod.js';
import { findService, type Service } from '../service/mod.js';
import type { GatewayView, ServiceView } from './GatewayView.js';
import { JobExchange } from './JobExchange.js';
import { sendProblem } from './sendProblem.js';
import type { ForwardedRequest } from './PeerPort.js';
import { ServiceDispatcher, type DispatcherTools } from './ServiceDispatcher.js';

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const DEFAULT_TIMEOUT_MS = 30_000;
const NON_IDEMPOTENT_METHODS = new Set(['POST', 'PATCH']);

/** Messages of the listener. */
export type GatewayListenerMessage =
  | { type: 'view'; view: GatewayView }
  | { type: 'hold'; isHeld: boolean }
  | ({ type: 'forwarded' } & ForwardedRequest)
  | { type: 'request'; request: IncomingMessage; response: ServerResponse; body: Buffer };

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Owns the server for callers: reads requests, makes jobs of them and submits them. */
export class GatewayListener extends Actor<GatewayListenerMessage> {
  readonly #server: Server;

  readonly #clock: Clock;

  readonly #tools: DispatcherTools;

  #view: GatewayView | undefined;

  #isHeld = false;

  readonly #dispatchers = new Map<string, ServiceDispatcher>();

  constructor(scope: ActorScope, clock: Clock, tools: DispatcherTools) {
    super(scope, 'gateway-listener');
    this.#clock = clock;
    this.#tools = tools;
    this.#server = createServer((request, response) => {
      this.#read(request, response).catch(() => response.destroy());
    });
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
      case 'forwarded':
        this.#submitForwarded(message);
        break;
      default:
        this.#submit(message.request, message.response, message.body);
    }
  }

  override async close(): Promise<void> {
    super.close();
    await closeServer(this.#server);
    await Promise.all([...this.#dispatchers.values()].map((dispatcher) => dispatcher.close()));
  }

  #updateDispatchers(view: GatewayView): void {
    this.#view = view;
    view.services.forEach((serviceView) => {
      const { name } = serviceView.service;
      const dispatcher = this.#dispatchers.get(name);
      if (dispatcher) dispatcher.send({ type: 'view', view: serviceView });
      else this.#openDispatcher(serviceView);
    });
  }

  #openDispatcher(view: ServiceView): void {
    const dispatcher = new ServiceDispatcher(this.scope, view, this.#tools);
    this.#dispatchers.set(view.service.name, dispatcher);
    dispatcher.send({ type: 'hold', isHeld: this.#isHeld });
  }

  #submitForwarded({ job, request, body, response }: ForwardedRequest): void {
    const exchange = new JobExchange(job, request, body, response);
    const dispatcher = this.#dispatchers.get(job.service);
    if (dispatcher) {
      dispatcher.send({ type: 'submit', exchange });
      return;
    }
    const title = `No service "${job.service}"`;
    exchange.sendProblem({ type: 'about:blank', title, status: 503, outcome: 'not-run' });
  }

  async #read(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    let size = 0;

    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) {
        const detail = `the limit is ${MAX_BODY_BYTES} bytes`;
        const title = 'The body is too large';
        sendProblem(response, {
          type: 'about:blank',
          title,
          status: 413,
          outcome: 'not-run',
          detail,
        });
        return;
      }
      chunks.push(chunk as Buffer);
    }
    this.send({ type: 'request', request, response, body: Buffer.concat(chunks) });
  }

  #submit(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const services = this.#view?.services.map((one) => one.service) ?? [];
    const service = findService(path, services);
    if (service === undefined) {
      const status = this.#view === undefined ? 503 : 404;
      const title = `No service for the path "${path}"`;
      sendProblem(response, { type: 'about:blank', title, status, outcome: 'not-run' });
      return;
    }
    const exchange = new JobExchange(this.#createJob(request, service), request, body, response);
    this.#dispatchers.get(service.name)?.send({ type: 'submit', exchange });
  }

  #createJob(request: IncomingMessage, service: Service): Job {
    const now = this.#clock.readMonotonic();
    const timeoutMs = Number(
      readHeader(request, 'buckthornreach-timeout-ms') ?? DEFAULT_TIMEOUT_MS,
    );
    const urgency = Urgency.safeParse(readHeader(request, 'buckthornreach-urgency'));
    const isSafe = !NON_IDEMPOTENT_METHODS.has(request.method ?? 'GET');
    return {
      id: randomUUID(),
      service: service.name,
      team: readHeader(request, 'buckthornreach-team') ?? 'default',
      urgency: urgency.success ? urgency.data : 'normal',
      idempotent:
        isSafe || service.idempotent || readHeader(request, 'buckthornreach-idempotent') === 'true',
      key: readHeader(request, 'idempotency-key'),
      arrivedAt: now,
      deadline: now + (Number.isFinite(timeoutMs) ? timeoutMs : DEFAULT_TIMEOUT_MS),
    };
  }
}
