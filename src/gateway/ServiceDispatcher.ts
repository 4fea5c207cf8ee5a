import { Actor, type ActorScope } from '../actor/mod.js';
import type { ClaimAnswer, ClaimPolicy } from '../claim/mod.js';
import type { Clock } from '../clock/mod.js';
import type { Outcome } from '../job/mod.js';
import { HostLink, type JobForwarder, type RunResult } from '../link/mod.js';
import type { DispatcherLoad } from '../session/mod.js';
import type { JobExchange } from './JobExchange.js';
import type { ServiceView } from './GatewayView.js';

/** Messages of a dispatcher. */
export type ServiceDispatcherMessage =
  | { type: 'submit'; exchange: JobExchange }
  | { type: 'authorized'; exchange: JobExchange; lane: Lane; answer: ClaimAnswer }
  | { type: 'finished'; exchange: JobExchange; result: RunResult }
  | { type: 'hold'; isHeld: boolean }
  | { type: 'view'; view: ServiceView };

interface Lane {
  host: string;
  link: HostLink;
  running: number;
}

/** What every dispatcher of a gateway uses. */
export interface DispatcherTools {
  clock: Clock;
  policy: ClaimPolicy;
  forwarder: JobForwarder;
  onLoad: (load: DispatcherLoad) => void;
}

/** Owns the queue of one service and the links to its hosts. */
export class ServiceDispatcher extends Actor<ServiceDispatcherMessage> {
  #view: ServiceView;

  readonly #tools: DispatcherTools;

  #isHeld = false;

  /** The last report, to send only what differs. */
  #load = '';

  readonly #lanes = new Map<string, Lane>();

  readonly #queue: JobExchange[] = [];

  constructor(scope: ActorScope, view: ServiceView, tools: DispatcherTools) {
    super(scope, `service-dispatcher ${view.service.name}`);
    this.#view = view;
    this.#tools = tools;
    this.#updateLanes();
  }

  protected override receive(message: ServiceDispatcherMessage): void {
    switch (message.type) {
      case 'submit':
        this.#queue.push(message.exchange);
        break;
      case 'authorized':
        this.#handleAnswer(message.exchange, message.lane, message.answer);
        break;
      case 'hold':
        this.#isHeld = message.isHeld;
        break;
      case 'finished':
        this.#finish(message.exchange, message.result);
        break;
      default:
        this.#view = message.view;
        this.#updateLanes();
    }
    this.#dispatch();
    this.#reportLoad();
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
      this.#lanes.set(host, { host, link: new HostLink(this.scope, host, options), running: 0 });
    });
    this.#lanes.forEach((lane, host) => {
      if (names.has(host) || lane.running > 0) return;
      this.#lanes.delete(host);
      lane.link.close().catch((error: Error) => this.scope.reportFault(this.name, error));
    });
  }

  #dispatch(): void {
    while (this.#queue.length > 0 && !this.#isHeld) {
      const lane = this.#chooseLane();
      if (lane === undefined) return;
      const exchange = this.#queue.shift();
      if (exchange === undefined) return;
      lane.running += 1;
      this.#tools.policy
        .authorize(exchange.job)
        .then((answer) => this.send({ type: 'authorized', exchange, lane, answer }));
    }
  }

  #handleAnswer(exchange: JobExchange, lane: Lane, answer: ClaimAnswer): void {
    if (answer.verdict === 'granted') {
      this.#run(exchange, lane, answer.validUntil);
      return;
    }
    this.#release(lane);
    if (answer.verdict === 'forward') {
      this.#tools.forwarder
        .forward(exchange, answer.peerAddress)
        .then((result) => this.send({ type: 'finished', exchange, result }));
      return;
    }
    const { reason, status, outcome, retryAfterSeconds } = answer;
    const title = `The job was refused: ${reason}`;
    exchange.sendProblem({ type: 'about:blank', title, status, outcome, retryAfterSeconds });
  }

  #run(exchange: JobExchange, lane: Lane, validUntil = Infinity): void {
    const reply = (result: RunResult): void => this.send({ type: 'finished', exchange, result });
    if (this.#isHeld || this.#tools.clock.readMonotonic() > validUntil) {
      const error = new Error('the gateway refreshes its state');
      reply({ host: lane.host, sent: false, answered: false, error });
      return;
    }
    const timeoutMs = this.#view.service.jobTimeoutMs;
    lane.link.send({ type: 'run', exchange, timeoutMs, reply });
  }

  #release(lane: Lane): void {
    Object.assign(lane, { running: lane.running - 1 });
    if (lane.running === 0) this.#updateLanes();
  }

  /** Reports to the session keeper what confirmations and drains depend on. */
  #reportLoad(): void {
    const { hosts, nextOffset, service } = this.#view;
    const slots = new Map(hosts.map((host) => [host.host, host.slots]));
    const lanes = [...this.#lanes.values()].filter((lane) => lane.running > 0);
    const leaving = lanes.map((lane) => lane.host).filter((host) => !slots.has(host));
    const isAboveShare = lanes.some((lane) => lane.running > (slots.get(lane.host) ?? Infinity));
    const load = { service: service.name, nextOffset, leaving, isAboveShare };
    const text = JSON.stringify(load);
    if (text === this.#load) return;
    this.#load = text;
    this.#tools.onLoad(load);
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- belongs to the results.
  #chooseOutcome({ answered, sent }: RunResult): Outcome {
    if (answered) return 'ran';
    return sent ? 'unknown' : 'not-run';
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
    if (lane) this.#release(lane);
    const outcome = this.#chooseOutcome(result);
    if (lane) this.#tools.policy.recordOutcome(exchange.job, outcome);
    if (result.answered) return;
    exchange.sendProblem({
      type: 'about:blank',
      title: 'The upstream gave no whole answer',
      status: 502,
      outcome,
      detail: result.error?.message,
    });
  }
}
