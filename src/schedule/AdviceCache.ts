import type { Advice, QueueConfig } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Limits of the number of hosts in one request, since the response time grows with their number. */
const MAX_HOSTS_PER_REQUEST = 10;
const MIN_HOSTS_PER_REQUEST = 3;
/** Response time in ms up to which a request names more than the minimum number of hosts. */
const MAX_RESPONSE_MS = 1_000;
/** Time in ms before its expiry from which a permission is not used, since the start takes time. */
const VALIDITY_MARGIN_MS = 250;
/** Delay in ms before a failed request is repeated. */
const RETRY_DELAY_MS = 100;

interface StepAdvice {
  /** Ticket of each allowed host, with its expiry on the monotonic clock. */
  allowed: Map<string, { ticket: string; expiresAt: number }>;
  /** Hosts that were requested and not allowed; the service does not change its decision later. */
  denied: Set<string>;
  /** Monotonic time in ms before which no request is made. */
  notBefore: number;
  /** Hosts of the pending request; empty if none is pending. */
  requestedHosts: string[];
}

/** Hosts of a request, and how long in ms the service needs for it. */
export interface PlannedRequest {
  hostIds: string[];
  expectedMs: number;
}

type AdviceTimes = NonNullable<QueueConfig['advice']>;

const NO_TIMES: AdviceTimes = { decisionMs: 0, perHostMs: 0 };

function computeMaxHosts({ decisionMs, perHostMs }: AdviceTimes): number {
  if (perHostMs === 0) return MAX_HOSTS_PER_REQUEST;
  const count = Math.floor((MAX_RESPONSE_MS - decisionMs) / perHostMs);
  return Math.min(MAX_HOSTS_PER_REQUEST, Math.max(MIN_HOSTS_PER_REQUEST, count));
}

/** Caches which hosts the advice service allows for each step, and plans further requests. */
export class AdviceCache {
  readonly #steps = new Map<string, StepAdvice>();

  /** Collects the hosts on which tasks of a step may start now. */
  collectAllowed(step: ScheduledStep, now: number): Set<string> {
    const advice = this.#steps.get(step.id);
    const allowed = new Set<string>();
    advice?.allowed.forEach(({ expiresAt }, host) => {
      if (expiresAt - VALIDITY_MARGIN_MS > now) allowed.add(host);
    });
    return allowed;
  }

  /** Finds the ticket for starting tasks of a step on a host. */
  findTicket(step: ScheduledStep, hostId: string): string | undefined {
    return this.#steps.get(step.id)?.allowed.get(hostId)?.ticket;
  }

  /**
   * Chooses the hosts of the next request for a step, in the given order; returns undefined while a
   * response is pending or if no host is left to request.
   */
  planRequest(
    step: ScheduledStep,
    hosts: readonly ManagedHost[],
    now: number,
  ): PlannedRequest | undefined {
    const advice = this.#steps.get(step.id) ?? {
      allowed: new Map(),
      denied: new Set(),
      notBefore: -Infinity,
      requestedHosts: [],
    };
    if (advice.requestedHosts.length > 0 || now < advice.notBefore) return undefined;
    const times = step.occurrence.job.queue.advice ?? NO_TIMES;
    const hostIds = hosts
      .filter((host) => host.isAvailable(now) && !advice.denied.has(host.id))
      .filter(({ id }) => (advice.allowed.get(id)?.expiresAt ?? 0) - VALIDITY_MARGIN_MS <= now)
      .slice(0, computeMaxHosts(times))
      .map(({ id }) => id);
    if (hostIds.length === 0) return undefined;
    advice.requestedHosts = hostIds;
    this.#steps.set(step.id, advice);
    return { hostIds, expectedMs: times.decisionMs + times.perHostMs * hostIds.length };
  }

  /** Checks whether a response for a step is pending. */
  isPending(stepId: string): boolean {
    return (this.#steps.get(stepId)?.requestedHosts.length ?? 0) > 0;
  }

  /** Records a response; undefined stands for a failed request. */
  report(stepId: string, advice: Advice | undefined, now: number): void {
    const stepAdvice = this.#steps.get(stepId);
    if (stepAdvice === undefined) return;
    if (advice !== undefined) {
      const allowed = new Set(advice.allowed.map(({ hostId }) => hostId));
      stepAdvice.requestedHosts
        .filter((id) => !allowed.has(id))
        .forEach((id) => stepAdvice.denied.add(id));
      advice.allowed.forEach(({ hostId, ticket }) =>
        stepAdvice.allowed.set(hostId, { ticket, expiresAt: now + advice.validityMs }),
      );
    } else stepAdvice.notBefore = now + RETRY_DELAY_MS;
    stepAdvice.requestedHosts = [];
  }

  /** Removes a permission whose ticket a host rejected. */
  withdraw(step: ScheduledStep, hostId: string): void {
    this.#steps.get(step.id)?.allowed.delete(hostId);
  }

  /** Removes all entries of a job's steps. */
  remove(job: string): void {
    [...this.#steps.keys()]
      .filter((id) => id.startsWith(`${job}.`))
      .forEach((id) => this.#steps.delete(id));
  }
}
