import type { Advice } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Hosts named in one question; each makes the answer take longer. */
const MAX_HOSTS_PER_REQUEST = 10;
/** Permissions are not used this shortly before they expire, in ms: the start takes time too. */
const VALIDITY_MARGIN_MS = 250;
/** A question without an answer is asked again after this time in ms. */
const RETRY_AFTER_MS = 2_500;

interface StepAdvice {
  /** Ticket and steady time of its expiry by host. */
  allowed: Map<string, { ticket: string; expiresAt: number }>;
  /** Hosts that were named and not allowed; the answer for a host does not change. */
  denied: Set<string>;
  requestedAt: number;
  requestedHosts: string[];
}

/** Remembers on which hosts the advice service allows a step, and decides what to ask. */
export class AdviceCache {
  readonly #steps = new Map<string, StepAdvice>();

  /** Collects the hosts on which a step may start now. */
  collectAllowed(step: ScheduledStep, now: number): Set<string> {
    const advice = this.#steps.get(step.id);
    const allowed = new Set<string>();
    advice?.allowed.forEach(({ expiresAt }, host) => {
      if (expiresAt - VALIDITY_MARGIN_MS > now) allowed.add(host);
    });
    return allowed;
  }

  /** Finds the ticket for a host. */
  findTicket(step: ScheduledStep, hostId: string): string | undefined {
    return this.#steps.get(step.id)?.allowed.get(hostId)?.ticket;
  }

  /** Plans the next question about a step; undefined when an answer is awaited or all were asked. */
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

  /** Records an answer; without one the question may be asked again at once. */
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

  /** Withdraws a permission that a host did not accept. */
  withdraw(step: ScheduledStep, hostId: string): void {
    this.#steps.get(step.id)?.allowed.delete(hostId);
  }

  /** Drops what is known of the steps of a job. */
  remove(job: string): void {
    [...this.#steps.keys()]
      .filter((id) => id.startsWith(`${job}.`))
      .forEach((id) => this.#steps.delete(id));
  }
}
