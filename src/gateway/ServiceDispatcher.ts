import { performance } from 'node:perf_hooks';
import { Actor, type ActorScope } from '../actor/mod.js';
import type { Job } from '../job/mod.js';
import { HostLink, type RunResult } from '../link/mod.js';
import type { JobExchange } from './JobExchange.js';
import type { ServiceView } from './GatewayView.js';

/** Messages of a dispatcher. */
export type ServiceDispatcherMessage =
  | { type: 'submit'; exchange: JobExchange }
  | { type: 'finished'; exchange: JobExchange; result: RunResult }
  | { type: 'view'; view: ServiceView };

interface Lane {
  link: HostLink;
  running: number;
}

/** Owns the queue of one service and the links to its hosts. */
export class ServiceDispatcher extends Actor<ServiceDispatcherMessage> {
  #view: ServiceView;

  readonly #lanes = new Map<string, Lane>();

  readonly #queue: JobExchange[] = [];

  constructor(scope: ActorScope, view: ServiceView) {
    super(scope, `service-dispatcher ${view.service.name}`);
    this.#view = view;
    this.#updateLanes();
  }

  protected override receive(message: ServiceDispatcherMessage): void {
    switch (message.type) {
      case 'submit':
        this.#queue.push(message.exchange);
        break;
      case 'finished':
        this.#finish(message.exchange, message.result);
        break;
      default:
        this.#view = message.view;
        this.#updateLanes();
    }
    this.#dispatch();
  }

  override async close(): Promise<void> {
    super.close();
    await Promise.all([...this.#lanes.values()].map((lane) => lane.link.close()));
  }

  #updateLanes(): void {
    const { hosts } = this.#view;
    const names = new Set(hosts.map((host) => host.host));
    hosts.forEach(({ host, address, connections }) => {
      if (this.#lanes.has(host)) return;
      const options = { address, connections };
      this.#lanes.set(host, { link: new HostLink(this.scope, host, options), running: 0 });
    });
    this.#lanes.forEach((lane, host) => {
      if (names.has(host) || lane.running > 0) return;
      this.#lanes.delete(host);
      lane.link.close().catch((error: Error) => this.scope.reportFault(this.name, error));
    });
  }

  #dispatch(): void {
    while (this.#queue.length > 0) {
      const lane = this.#chooseLane();
      if (lane === undefined) return;
      const exchange = this.#queue.shift();
      if (exchange === undefined) return;
      lane.running += 1;
      const cause = this.scope.recordEvent({
        type: 'request.sent',
        request: exchange.job.id,
        host: lane.link.host,
        service: exchange.job.service,
      });
      const sentAt = performance.now();
      lane.link.send({
        type: 'run',
        exchange,
        timeoutMs: this.#view.service.jobTimeoutMs,
        reply: (result) => {
          this.#recordResult(exchange.job, result, cause);
          this.scope.recordLatency('upstream', performance.now() - sentAt);
          this.send({ type: 'finished', exchange, result });
        },
      });
    }
  }

  #recordResult(job: Job, result: RunResult, cause: number | undefined): void {
    const { host, answered, sent, error } = result;
    this.scope.increaseCounter(answered ? 'answered' : 'failed');
    this.scope.recordEvent({
      type: answered ? 'request.answered' : 'request.failed',
      request: job.id,
      host,
      cause,
      detail: answered ? '' : `${sent ? 'unknown' : 'not-run'}: ${error?.message ?? 'no answer'}`,
    });
  }

  #chooseLane(): Lane | undefined {
    const open = this.#view.hosts
      .map(({ host, slots }) => ({ slots, lane: this.#lanes.get(host) }))
      .filter(({ slots, lane }) => lane !== undefined && lane.running < slots)
      .map(({ lane }) => lane as Lane);
    return open.sort((a, b) => a.running - b.running)[0];
  }

  #finish(exchange: JobExchange, result: RunResult): void {
    const lane = this.#lanes.get(result.host);
    if (lane) lane.running -= 1;
    if (result.answered) return;
    exchange.sendProblem({
      type: 'about:blank',
      title: 'The upstream gave no whole answer',
      status: 502,
      outcome: result.sent ? 'unknown' : 'not-run',
      detail: result.error?.message,
    });
  }
}
