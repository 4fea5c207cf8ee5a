import { Actor, type ActorScope } from '../actor/mod.js';
import { RetryBudget, type AdmissionPolicy, type ShedReason } from '../admission/mod.js';
import type { ClaimAnswer, ClaimLocation } from '../claim/mod.js';
import type { Job, Problem } from '../job/mod.js';
import {
  chooseNextStep,
  CONNECT_TIMEOUT_MS,
  MAX_ATTEMPTS,
  type Exchange,
  type ForwardResult,
  type ForwardTarget,
  type RunResult,
  type HostSlot,
} from '../link/mod.js';
import { createJobEntry, type JobEntry } from './_JobEntry.js';
import { JobRecorder, type JobEnd } from './_JobRecorder.js';
import {
  buildClaimProblem,
  buildForwardProblem,
  buildShedProblem,
  buildUnavailableProblem,
} from './_problems.js';
import { readHealthSign } from './_readHealthSign.js';
import { ServiceHosts } from './_ServiceHosts.js';
import type { GatewayParts } from './GatewayParts.js';
import type { ServiceView } from './GatewayView.js';

/** How often queued jobs are checked for expiry and ejected hosts for the end of their pause. */
const TICK_INTERVAL_MS = 25;
/**
 * A run that times out before this duration, or before `SLOW_RUN_FACTOR` times the mean run time,
 * does not count against its host.
 */
const MIN_SLOW_RUN_MS = 1_000;
const SLOW_RUN_FACTOR = 8;
/** Longer than connecting takes. Only a pause of the process delays a request beyond this. */
const SEND_DEADLINE_MS = CONNECT_TIMEOUT_MS + 500;

/** Messages handled by a dispatcher. */
export type ServiceDispatcherMessage =
  | { type: 'submit'; exchange: Exchange }
  | { type: 'located'; entry: JobEntry; location: ClaimLocation }
  | { type: 'claimed'; entry: JobEntry; answer: ClaimAnswer }
  | { type: 'finished'; entry: JobEntry; result: RunResult }
  | { type: 'forwarded'; entry: JobEntry; result: ForwardResult }
  | { type: 'cancel'; id: string }
  | { type: 'tick' }
  /** Pauses or resumes sending to hosts. Jobs stay queued while paused. */
  | { type: 'hold'; isHeld: boolean }
  | { type: 'view'; view: ServiceView; quotas: ReadonlyMap<string, number> };

/** Whether a job needs a claim of its idempotency key before it is sent. */
function isClaimRequired(job: Job): boolean {
  return !job.idempotent && job.key !== undefined;
}

/** Owns the queues of a service and the links to its hosts. */
export class ServiceDispatcher extends Actor<ServiceDispatcherMessage> {
  readonly #parts: GatewayParts;

  readonly #service: string;

  readonly #policy: AdmissionPolicy;

  readonly #hosts: ServiceHosts;

  readonly #recorder: JobRecorder;

  readonly #retryBudget = new RetryBudget();

  readonly #entries = new Map<string, JobEntry>();

  #view: ServiceView | undefined;

  #isHeld = false;

  #tickTimer: NodeJS.Timeout | undefined;

  constructor(scope: ActorScope, service: string, parts: GatewayParts) {
    super(scope, `service-dispatcher ${service}`);
    this.#service = service;
    this.#parts = parts;
    this.#policy = parts.createPolicy();
    this.#hosts = new ServiceHosts(scope);
    this.#recorder = new JobRecorder(scope, service);
  }

  protected override receive(message: ServiceDispatcherMessage): void {
    switch (message.type) {
      case 'submit':
        this.#submit(message.exchange);
        break;
      case 'located':
        this.#handleLocation(message.entry, message.location);
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
      case 'hold':
        this.#isHeld = message.isHeld;
        break;
      case 'view':
        this.#view = message.view;
        this.#policy.setQuotas(message.quotas);
        this.#hosts.update(message.view.hosts);
        break;
      default:
        this.#tickTimer = undefined;
    }
    this.#dispatch();
    const load = this.#view && this.#hosts.readLoad(this.#view);
    if (load) this.#parts.onLoad(load);
  }

  override async close(): Promise<void> {
    clearTimeout(this.#tickTimer);
    super.close();
    await this.#hosts.close();
  }

  #readNow(): number {
    return this.#parts.clock.readMonotonic();
  }

  #submit(exchange: Exchange): void {
    const { job } = exchange;
    const entry = createJobEntry(exchange);
    if (this.#view?.unavailableReason !== undefined) {
      this.#refuse(entry, buildUnavailableProblem(this.#view.unavailableReason));
      return;
    }
    this.#entries.set(job.id, entry);
    if (!isClaimRequired(job)) {
      this.#admit(entry);
      return;
    }
    // A job that another gateway has to run is queued there and takes no queue space here.
    this.#parts.claims.locate(job).then(
      (location) => this.send({ type: 'located', entry, location }),
      (error: Error) => this.scope.reportError(this.name, error),
    );
  }

  #handleLocation(entry: JobEntry, location: ClaimLocation): void {
    if (location.verdict === 'here') {
      this.#admit(entry);
    } else if (location.verdict === 'forward') {
      const { peerAddress, session } = location;
      this.#forwardToGateway(entry, { kind: 'peer', peerAddress, session });
    } else {
      this.#refuse(entry, buildClaimProblem(location));
    }
  }

  #admit(entry: JobEntry): void {
    const { exchange } = entry;
    const { job } = exchange;
    const now = this.#readNow();
    if (!this.#isHeld && !this.#hosts.rotation.hasUsableHost(now)) {
      // Only this gateway may run a job whose idempotency key it owns.
      if (isClaimRequired(job))
        this.#refuse(entry, buildUnavailableProblem('no host can be used now'));
      else this.#forwardToGateway(entry, { kind: 'other-data-centre', service: this.#service });
      return;
    }
    const answer = this.#policy.submit(job, now);
    if (!answer.admitted) {
      this.#shed(job.id, answer.reason, answer.waitMs);
      return;
    }
    Object.assign(entry, { phase: 'queued' });
    answer.displaced.forEach(({ id, reason }) => this.#shed(id, reason));
    const cancel = (): void => {
      if (entry.phase === 'queued') this.send({ type: 'cancel', id: job.id });
    };
    if (exchange.isAbandoned) cancel();
    else exchange.addCloseListener(cancel);
  }

  /** Starts queued jobs while the admission policy allows it and a host has a free slot. */
  #dispatch(): void {
    const now = this.#readNow();
    const { rotation } = this.#hosts;
    this.#policy.setSlots(rotation.countSlots(now));
    while (!this.#isHeld && this.#policy.queued > 0 && rotation.hasFreeSlot(now)) {
      const id = this.#policy.take(now);
      const entry = id === undefined ? undefined : this.#entries.get(id);
      if (entry === undefined) break;
      this.#start(entry, rotation.takeSlot(now) as HostSlot);
    }
    this.#policy.expire(now).forEach(({ id, reason }) => this.#shed(id, reason));
    if (this.#policy.queued > 0 && !this.isClosed) {
      this.#tickTimer ??= setTimeout(() => this.send({ type: 'tick' }), TICK_INTERVAL_MS);
    }
  }

  #start(entry: JobEntry, slot: HostSlot): void {
    const { job } = entry.exchange;
    Object.assign(entry, { slot, phase: 'claiming' });
    this.#recorder.recordStart(entry, this.#readNow() - job.arrivedAt);
    if (!isClaimRequired(job)) {
      this.#sendToHost(entry);
      return;
    }
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
      Object.assign(entry, { claim: { validUntil: answer.validUntil ?? Infinity } });
      this.#sendToHost(entry);
      return;
    }
    this.#releaseSlot(entry);
    this.#policy.finish(entry.exchange.job.id, { ran: false, runMs: 0 });
    this.#handleLocation(entry, answer);
  }

  /** Sends a job to the host on which it has a slot. */
  #sendToHost(entry: JobEntry): void {
    const now = this.#readNow();
    const { exchange, slot, triedHosts, claim } = entry;
    const { host } = slot as HostSlot;
    const { job } = exchange;
    Object.assign(entry, { phase: 'running' });
    triedHosts.add(host);
    const link = this.#hosts.findLink(host);
    const sendDeadline = Math.min(claim?.validUntil ?? Infinity, now + SEND_DEADLINE_MS);
    if (this.#isHeld || now > sendDeadline || link === undefined) {
      const message = link ? 'the gateway refreshes its state' : 'the host went away';
      const result = { host, sent: false, begun: false, leaving: false, runMs: 0, message };
      this.#finishRun(entry, { ...result, end: 'busy' });
      return;
    }
    if (triedHosts.size === 1) this.#retryBudget.recordJob(now);
    this.#recorder.recordSent(entry, host);
    link.send({
      type: 'run',
      exchange,
      sendDeadline,
      isRetryable:
        job.idempotent &&
        triedHosts.size < MAX_ATTEMPTS &&
        this.#retryBudget.hasRetry(now) &&
        this.#hosts.rotation.hasFreeSlot(now, triedHosts),
      timeoutMs: Math.max(1, Math.min(job.deadline - now, this.#getJobTimeoutMs())),
      reply: (result) => this.send({ type: 'finished', entry, result }),
    });
  }

  #getJobTimeoutMs(): number {
    return this.#view?.service.jobTimeoutMs ?? 0;
  }

  #releaseSlot(entry: JobEntry, result?: RunResult): void {
    const { slot } = entry;
    if (slot === undefined) return;
    const mean = this.#policy.estimateRunMs(entry.exchange.job.urgency);
    const slowMs = Math.max(MIN_SLOW_RUN_MS, SLOW_RUN_FACTOR * mean);
    const signal = result
      ? readHealthSign(result, Math.min(slowMs, this.#getJobTimeoutMs()))
      : ('neutral' as const);
    const rotationChange = this.#hosts.rotation.releaseSlot(slot, { signal, now: this.#readNow() });
    Object.assign(entry, { slot: undefined });
    if (rotationChange === undefined) return;
    const detail = `${signal}: ${result?.message ?? `status ${result?.status}`}`;
    this.#recorder.recordRotationChange(entry, rotationChange, { host: slot.host, detail });
  }

  #finishRun(entry: JobEntry, result: RunResult): void {
    const { job } = entry.exchange;
    const now = this.#readNow();
    this.#releaseSlot(entry, result);
    const { rotation } = this.#hosts;
    const next = chooseNextStep(result, {
      idempotent: job.idempotent,
      attempts: entry.triedHosts.size,
      wasSentEarlier: entry.sentBefore,
      hasBudget: this.#retryBudget.hasRetry(now),
      hasUntriedHost: !this.#isHeld && rotation.hasFreeSlot(now, entry.triedHosts),
      remainingMs: job.deadline - now,
    });
    Object.assign(entry, { sentBefore: entry.sentBefore || result.sent });
    if (next.next === 'retry') {
      this.#retryBudget.takeRetry(now);
      Object.assign(entry, { slot: rotation.takeSlot(now, entry.triedHosts) });
      this.#sendToHost(entry);
      return;
    }
    const ran = result.end === 'answered' && readHealthSign(result, Infinity) === 'good';
    this.#policy.finish(job.id, { ran, runMs: result.runMs });
    this.scope.recordLatency('upstream', result.runMs);
    if (entry.claim) this.#parts.claims.recordOutcome(job, next.outcome);
    if (next.next === 'problem') {
      const { status, title, outcome } = next;
      const problem = { type: 'about:blank', title, status, outcome, detail: result.message };
      entry.exchange.sendProblem(problem);
    }
    const detail = `${result.end} ${result.status ?? ''}`;
    this.#finish(entry, { outcome: next.outcome, host: result.host, detail });
  }

  #forwardToGateway(entry: JobEntry, target: ForwardTarget): void {
    if (entry.exchange.job.forwarded === true) {
      this.#refuse(entry, buildUnavailableProblem('a forwarded job is not forwarded again'));
      return;
    }
    Object.assign(entry, { phase: 'forwarding' });
    this.#parts.forwarder.forward(entry.exchange, target).then(
      (result) => this.send({ type: 'forwarded', entry, result }),
      // The forwarder reported no result, so bytes of the request may have been sent.
      (error: Error) => {
        const result = { answered: false, sent: true, detail: error.message };
        this.send({ type: 'forwarded', entry, result: { ...result, outcome: 'unknown' } });
      },
    );
  }

  #finishForward(entry: JobEntry, result: ForwardResult): void {
    const { answered, outcome, detail } = result;
    if (!answered) entry.exchange.sendProblem(buildForwardProblem(result));
    this.#finish(entry, { outcome, detail: detail ?? 'answered by another gateway' });
  }

  #shed(id: string, reason: ShedReason, waitMs?: number): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#entries.delete(id);
    Object.assign(entry, { phase: 'running' });
    this.#recorder.recordShed(entry, reason);
    entry.exchange.sendProblem(buildShedProblem(reason, waitMs));
  }

  #refuse(entry: JobEntry, problem: Problem): void {
    const { outcome, title } = problem;
    entry.exchange.sendProblem(problem);
    this.#finish(entry, { outcome, detail: `${title}: ${problem.detail ?? ''}` });
  }

  #finish(entry: JobEntry, end: JobEnd): void {
    this.#entries.delete(entry.exchange.job.id);
    this.#recorder.recordEnd(entry, end);
  }
}
