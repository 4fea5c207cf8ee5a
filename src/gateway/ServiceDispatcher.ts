import { Actor, type ActorScope } from '../actor/mod.js';
import { RetryBudget, type AdmissionPolicy, type ShedReason } from '../admission/mod.js';
import type { ClaimAnswer } from '../claim/mod.js';
import type { Outcome, Problem } from '../job/mod.js';
import {
  chooseNextStep,
  HostLink,
  HostRotation,
  MAX_ATTEMPTS,
  type Exchange,
  type ForwardResult,
  type ForwardTarget,
  type RunResult,
  type TakenSlot,
} from '../link/mod.js';
import { createJobEntry, type JobEntry } from './_JobEntry.js';
import { buildForwardProblem, buildShedProblem, buildUnusableProblem } from './_problems.js';
import { readHealthSign } from './_readHealthSign.js';
import type { GatewayParts } from './GatewayParts.js';
import type { ServiceView } from './GatewayView.js';

/** How often queued jobs are checked for lateness and hosts for the end of their pause. */
const TICK_MS = 25;
/** A run cut off earlier than this, or than some mean run times, says nothing of its host. */
const SLOW_RUN_MS = 1_000;
const SLOW_RUN_FACTOR = 8;

/** Messages of a dispatcher. */
export type ServiceDispatcherMessage =
  | { type: 'submit'; exchange: Exchange }
  | { type: 'claimed'; entry: JobEntry; answer: ClaimAnswer }
  | { type: 'finished'; entry: JobEntry; result: RunResult }
  | { type: 'forwarded'; entry: JobEntry; result: ForwardResult }
  | { type: 'cancel'; id: string }
  | { type: 'tick' }
  | { type: 'view'; view: ServiceView; quotas: ReadonlyMap<string, number> };

/** Owns the queues of one service and the links to its hosts. */
export class ServiceDispatcher extends Actor<ServiceDispatcherMessage> {
  readonly #parts: GatewayParts;

  readonly #service: string;

  readonly #policy: AdmissionPolicy;

  readonly #rotation = new HostRotation();

  readonly #budget = new RetryBudget();

  readonly #links = new Map<string, { address: string; link: HostLink; connections: number }>();

  readonly #entries = new Map<string, JobEntry>();

  #view: ServiceView | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor(scope: ActorScope, service: string, parts: GatewayParts) {
    super(scope, `service-dispatcher ${service}`);
    this.#service = service;
    this.#parts = parts;
    this.#policy = parts.createPolicy();
  }

  protected override receive(message: ServiceDispatcherMessage): void {
    switch (message.type) {
      case 'submit':
        this.#submit(message.exchange);
        break;
      case 'claimed':
        this.#handleClaim(message.entry, message.answer);
        break;
      case 'finished':
        this.#finishRun(message.entry, message.result);
        break;
      case 'forwarded':
        this.#finishForward(message.entry, message.result);
        break;
      case 'cancel':
        if (this.#policy.remove(message.id)) this.#entries.delete(message.id);
        break;
      case 'view':
        this.#view = message.view;
        this.#policy.setQuotas(message.quotas);
        this.#updateLinks();
        break;
      default:
        this.#timer = undefined;
    }
    this.#dispatch();
  }

  override async close(): Promise<void> {
    clearTimeout(this.#timer);
    super.close();
    await Promise.all([...this.#links.values()].map(({ link }) => link.close()));
  }

  #readNow(): number {
    return this.#parts.clock.readMonotonic();
  }

  #updateLinks(): void {
    const hosts = this.#view?.hosts ?? [];
    this.#rotation.setHosts(hosts);
    const addresses = new Map(hosts.map(({ host, address }) => [host, address]));
    this.#links.forEach(({ address, link }, host) => {
      if (addresses.get(host) === address) return;
      this.#links.delete(host);
      link.send({ type: 'retire' });
    });
    hosts.forEach(({ host, address, connections }) => {
      const entry = this.#links.get(host);
      if (entry?.connections === connections) return;
      if (entry) entry.link.send({ type: 'share', connections });
      const link = entry?.link ?? new HostLink(this.scope, host, { address, connections });
      this.#links.set(host, { address, link, connections });
    });
  }

  #submit(exchange: Exchange): void {
    const { job } = exchange;
    const now = this.#readNow();
    const entry = createJobEntry(exchange);
    if (this.#view?.obstacle !== undefined) {
      this.#refuse(entry, buildUnusableProblem(this.#view.obstacle));
      return;
    }
    this.#entries.set(job.id, entry);
    if (!this.#rotation.hasUsable(now)) {
      this.#forward(entry, { kind: 'other-data-centre', service: this.#service });
      return;
    }
    const answer = this.#policy.submit(job, now);
    if (!answer.admitted) {
      this.#shed(job.id, answer.reason, answer.waitMs);
      return;
    }
    answer.displaced.forEach(({ id, reason }) => this.#shed(id, reason));
    exchange.addCloseListener(() => {
      if (entry.phase === 'queued') this.send({ type: 'cancel', id: job.id });
    });
  }

  /** Starts jobs as long as the policy allows one and a host has a free slot. */
  #dispatch(): void {
    const now = this.#readNow();
    this.#policy.setSlots(this.#rotation.countSlots(now));
    while (this.#policy.queued > 0 && this.#rotation.hasFree(now)) {
      const id = this.#policy.take(now);
      const entry = id === undefined ? undefined : this.#entries.get(id);
      if (entry === undefined) break;
      this.#start(entry, this.#rotation.take(now) as TakenSlot);
    }
    this.#policy.expire(now).forEach(({ id, reason }) => this.#shed(id, reason));
    if (this.#policy.queued > 0 && !this.isClosed) {
      this.#timer ??= setTimeout(() => this.send({ type: 'tick' }), TICK_MS);
    }
  }

  #start(entry: JobEntry, slot: TakenSlot): void {
    const { job } = entry.exchange;
    Object.assign(entry, { slot, startedAt: this.#readNow() });
    this.scope.recordLatency(
      `job.wait.${this.#service}.${job.urgency}`,
      this.#readNow() - job.arrivedAt,
    );
    if (job.idempotent || job.key === undefined) {
      this.#send(entry);
      return;
    }
    Object.assign(entry, { phase: 'claiming' });
    this.#parts.claims.authorize(job).then(
      (answer) => this.send({ type: 'claimed', entry, answer }),
      (error: Error) => {
        const reason = `the claim failed: ${error.message}`;
        const answer: ClaimAnswer = { verdict: 'refused', outcome: 'not-run', status: 503, reason };
        this.send({ type: 'claimed', entry, answer });
      },
    );
  }

  #handleClaim(entry: JobEntry, answer: ClaimAnswer): void {
    if (answer.verdict === 'granted') {
      this.#send(entry);
      return;
    }
    this.#releaseSlot(entry);
    this.#policy.finish(entry.exchange.job.id, { ran: false, runMs: 0 });
    if (answer.verdict === 'forward') {
      const { peerAddress, session } = answer;
      this.#forward(entry, { kind: 'peer', peerAddress, session });
      return;
    }
    const { outcome, status, reason, retryAfterSeconds } = answer;
    const title = 'The idempotency key does not allow the job to run';
    const problem = { type: 'about:blank', title, status, outcome, detail: reason };
    this.#refuse(entry, retryAfterSeconds ? { ...problem, retryAfterSeconds } : problem);
  }

  /** Sends a job to the host on which it has a slot. */
  #send(entry: JobEntry): void {
    const now = this.#readNow();
    const { exchange, slot, tried } = entry;
    const { host } = slot as TakenSlot;
    const { job } = exchange;
    const isRetry = tried.size > 0;
    Object.assign(entry, { phase: 'running' });
    tried.add(host);
    if (!isRetry) this.#budget.recordJob(now);
    const type = isRetry ? 'request.retried' : 'request.sent';
    this.#report(entry, type, { host, detail: `attempt ${tried.size}` });
    const isRetryable =
      job.idempotent &&
      tried.size < MAX_ATTEMPTS &&
      this.#budget.hasRetry(now) &&
      this.#rotation.hasFree(now, tried);
    const link = this.#links.get(host)?.link;
    if (link === undefined) {
      // The host went away while the claim was made.
      const result = { host, sent: false, begun: false, leaving: false, runMs: 0 };
      this.#finishRun(entry, { ...result, end: 'busy' });
      return;
    }
    link.send({
      type: 'run',
      exchange,
      isRetryable,
      timeoutMs: Math.max(1, Math.min(job.deadline - now, this.#getJobTimeout())),
      reply: (result) => this.send({ type: 'finished', entry, result }),
    });
  }

  #getJobTimeout(): number {
    return this.#view?.service.jobTimeoutMs ?? 0;
  }

  #releaseSlot(entry: JobEntry, result?: RunResult): void {
    const { slot } = entry;
    if (slot === undefined) return;
    const mean = this.#policy.estimateRun(entry.exchange.job.urgency);
    const slowMs = Math.max(SLOW_RUN_MS, SLOW_RUN_FACTOR * mean);
    const sign = result
      ? readHealthSign(result, Math.min(slowMs, this.#getJobTimeout()))
      : ('neutral' as const);
    const turn = this.#rotation.finish(slot, { sign, now: this.#readNow() });
    Object.assign(entry, { slot: undefined });
    if (turn === undefined) return;
    const type = turn === 'out' ? 'host.ejected' : 'host.restored';
    this.scope.increaseCounter(type);
    this.scope.recordEvent({
      type,
      host: slot.host,
      service: this.#service,
      cause: entry.event,
      detail: `${sign}: ${result?.message ?? `status ${result?.status}`}`,
    });
  }

  #finishRun(entry: JobEntry, result: RunResult): void {
    const { job } = entry.exchange;
    const now = this.#readNow();
    this.#releaseSlot(entry, result);
    const next = chooseNextStep(result, {
      idempotent: job.idempotent,
      attempts: entry.tried.size,
      sentBefore: entry.sentBefore,
      hasBudget: this.#budget.hasRetry(now),
      hasHost: this.#rotation.hasFree(now, entry.tried),
      leftMs: job.deadline - now,
    });
    Object.assign(entry, { sentBefore: entry.sentBefore || result.sent });
    if (next.next === 'retry') {
      this.#budget.takeRetry(now);
      this.scope.increaseCounter(`job.retried.${this.#service}`);
      Object.assign(entry, { slot: this.#rotation.take(now, entry.tried) });
      this.#send(entry);
      return;
    }
    const ran = result.end === 'answered' && readHealthSign(result, Infinity) === 'good';
    this.#policy.finish(job.id, { ran, runMs: result.runMs });
    if (next.next === 'problem') {
      const { status, title, outcome } = next;
      const problem = { type: 'about:blank', title, status, outcome, detail: result.message };
      entry.exchange.sendProblem(problem);
    }
    this.scope.recordLatency('upstream', result.runMs);
    const detail = `${next.outcome}: ${result.end} ${result.status ?? ''}`;
    this.#finish(entry, { outcome: next.outcome, host: result.host, detail });
  }

  #forward(entry: JobEntry, target: ForwardTarget): void {
    if (entry.exchange.isForwarded) {
      this.#refuse(entry, buildUnusableProblem('a forwarded job is not forwarded again'));
      return;
    }
    Object.assign(entry, { phase: 'forwarding' });
    this.#parts.forwarder.forward(entry.exchange, target).then(
      (result) => this.send({ type: 'forwarded', entry, result }),
      // Without a result, a byte may have been sent.
      () => this.send({ type: 'forwarded', entry, result: { answered: false, sent: true } }),
    );
  }

  #finishForward(entry: JobEntry, result: ForwardResult): void {
    if (result.answered) {
      this.#finish(entry, { outcome: 'ran', detail: 'by another gateway' });
      return;
    }
    this.#refuse(entry, buildForwardProblem(result));
  }

  #shed(id: string, reason: ShedReason, waitMs?: number): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#entries.delete(id);
    Object.assign(entry, { phase: 'running' });
    this.scope.increaseCounter(`job.shed.${this.#service}.${entry.exchange.job.urgency}`);
    this.#report(entry, 'request.shed', { detail: reason });
    entry.exchange.sendProblem(buildShedProblem(reason, waitMs));
  }

  #refuse(entry: JobEntry, problem: Problem): void {
    entry.exchange.sendProblem(problem);
    const { outcome, title } = problem;
    this.#finish(entry, { outcome, detail: `${outcome}: ${title}: ${problem.detail ?? ''}` });
  }

  #finish(entry: JobEntry, end: { outcome: Outcome; host?: string; detail: string }): void {
    const { job } = entry.exchange;
    const { outcome, detail, host } = end;
    const isAnswered = outcome === 'ran';
    this.#entries.delete(job.id);
    this.scope.increaseCounter(isAnswered ? 'answered' : 'failed');
    this.scope.increaseCounter(`job.outcome.${this.#service}.${outcome}`);
    this.#report(entry, isAnswered ? 'request.answered' : 'request.failed', { detail, host });
  }

  #report(entry: JobEntry, type: string, about: { detail: string; host?: string }): void {
    const { job } = entry.exchange;
    const cause = entry.event;
    const event = { type, request: job.id, service: this.#service, cause, ...about };
    Object.assign(entry, { event: this.scope.recordEvent(event) });
  }
}
