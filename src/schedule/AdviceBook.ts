import type { Advice } from '../port/mod.js';
import type { ManagedHost } from './ManagedHost.js';
import type { ScheduledStep } from './ScheduledStep.js';

/** Hosts named in one question; each makes the answer take longer. */
const HOSTS_PER_QUESTION = 10;
/** Permissions are not used this shortly before they expire, in ms: the start takes time too. */
const VALIDITY_MARGIN_MS = 250;
/** A question without an answer is asked again after this time in ms. */
const REPEAT_MS = 2_500;

interface StepAdvice {
  /** Ticket and steady time of its expiry by host. */
  allowed: Map<string, { ticket: string; until: number }>;
  /** Hosts that were named and not allowed; the answer for a host does not change. */
  denied: Set<string>;
  askedAt: number;
  asked: string[];
}

/** Remembers on which hosts the advice service allows a step, and decides what to ask. */
export class AdviceBook {
  readonly #steps = new Map<string, StepAdvice>();

  /** Collects the hosts on which a step may start now. */
  collectAllowed(step: ScheduledStep, now: number): Set<string> {
    const advice = this.#steps.get(step.id);
    const allowed = new Set<string>();
    advice?.allowed.forEach(({ until }, host) => {
      if (until - VALIDITY_MARGIN_MS > now) allowed.add(host);
    });
    return allowed;
  }

  /** Finds the ticket for a host. */
  findTicket(step: ScheduledStep, hostId: string): string | undefined {
    return this.#steps.get(step.id)?.allowed.get(hostId)?.ticket;
  }

  /** Plans the next question about a step; undefined when an answer is awaited or all were asked. */
  planQuestion(
    step: ScheduledStep,
    hosts: readonly ManagedHost[],
    now: number,
  ): string[] | undefined {
    const advice = this.#steps.get(step.id) ?? {
      allowed: new Map(),
      denied: new Set(),
      askedAt: -Infinity,
      asked: [],
    };
    if (advice.asked.length > 0 && now - advice.askedAt < REPEAT_MS) return undefined;
    const open = hosts
      .filter((host) => host.isAvailable(now) && !advice.denied.has(host.id))
      .filter(({ id }) => (advice.allowed.get(id)?.until ?? 0) - VALIDITY_MARGIN_MS <= now)
      .slice(0, HOSTS_PER_QUESTION)
      .map(({ id }) => id);
    if (open.length === 0) return undefined;
    advice.askedAt = now;
    advice.asked = open;
    this.#steps.set(step.id, advice);
    return open;
  }

  /** Records an answer; without one the question may be asked again at once. */
  report(stepId: string, advice: Advice | undefined, now: number): void {
    const known = this.#steps.get(stepId);
    if (known === undefined) return;
    if (advice !== undefined) {
      const allowed = new Set(advice.allowed.map(({ hostId }) => hostId));
      known.asked.filter((id) => !allowed.has(id)).forEach((id) => known.denied.add(id));
      advice.allowed.forEach(({ hostId, ticket }) =>
        known.allowed.set(hostId, { ticket, until: now + advice.validityMs }),
      );
    }
    known.asked = [];
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
