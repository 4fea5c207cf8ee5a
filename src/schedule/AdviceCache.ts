import type { Advice } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Maximum number of hosts in one request, since the response time grows with their number. */
const MAX_HOSTS_PER_REQUEST = 10;
/** Time in ms before its expiry from which a permission is not used, since the start takes time. */
const VALIDITY_MARGIN_MS = 250;
/** Delay in ms after which a request without a response is repeated. */
const RETRY_AFTER_MS = 2_500;

interface StepAdvice {
  /** Ticket of each allowed host, with its expiry on the monotonic clock. */
  allowed: Map<string, { ticket: string; expiresAt: number }>;
  /** Hosts that were requested and not allowed; the service does not change its decision later. */
  denied: Set<string>;
  requestedAt: number;
  /** Hosts of the pending request; empty if none is pending. */
  requestedHosts: string[];
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
   * Chooses the hosts of the next request for a step; returns undefined while a response is pending
   * or if no host is left to request.
   */
  planRequest(
    step: ScheduledStep,
    hosts: readonly ManagedHost[],
    now: number,
  ): string[] | undefined {
    const advice = this.#steps.get(step.id) ?? {
      allowed: new Map(),
      denied: new Set(),
      requestedAt: -Infinity,
      requestedHosts: [],
    };
    if (advice.requestedHosts.length > 0 && now - advice.requestedAt < RETRY_AFTER_MS)
      return undefined;
    const hostIds = hosts
      .filter((host) => host.isAvailable(now) && !advice.denied.has(host.id))
      .filter(({ id }) => (advice.allowed.get(id)?.expiresAt ?? 0) - VALIDITY_MARGIN_MS <= now)
      .slice(0, MAX_HOSTS_PER_REQUEST)
      .map(({ id }) => id);
    if (hostIds.length === 0) return undefined;
    advice.requestedAt = now;
    advice.requestedHosts = hostIds;
    this.#steps.set(step.id, advice);
    return hostIds;
  }

  /** Records a response; undefined stands for a failed request, which may be repeated at once. */
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
    }
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
