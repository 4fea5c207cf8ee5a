import type { HoldOrder, HostReport } from '../port/mod.js';
import type { ManagedHost } from '../schedule/mod.js';
import type { HoldOutcome, HostLink } from './HostLink.js';

/** Longest time in ms that a host waits for an end before it answers a hold. */
const HOLD_WAIT_MS = 1_000;
/** Pause in ms between holds while reported ends are not yet in the store. */
const UNACKNOWLEDGED_DELAY_MS = 250;
/** Pause in ms after a hold that was not answered. */
const RETRY_DELAY_MS = 300;

/** Unanswered calls in a row after which the lease is not extended any more. */
const MAX_UNANSWERED_CALLS = 2;

/** Figures and callbacks of a watch. */
export interface HoldSchedulerOptions {
  token: number;
  leaseMs: number;
  readClock: () => number;
  onHoldResult: (host: ManagedHost, outcome: HoldOutcome, sentAt: number) => void;
}

/**
 * The owner's watch over one host: when to hold its lease and what to acknowledge.
 *
 * At most one hold is under way. While something runs, a hold follows the one before at once, so
 * that an end is learned when it happens; an idle host is left alone.
 */
export class HoldScheduler {
  readonly #host: ManagedHost;

  readonly #link: HostLink;

  readonly #options: HoldSchedulerOptions;

  #isHolding = false;

  #timer: NodeJS.Timeout | undefined;

  #acknowledgedEnd = 0;

  #isClosed = false;

  constructor(host: ManagedHost, link: HostLink, options: HoldSchedulerOptions) {
    this.#host = host;
    this.#link = link;
    this.#options = options;
    this.holdIfNeeded();
  }

  get link(): HostLink {
    return this.#link;
  }

  /** Holds now if there is a reason to and no hold is under way or planned. */
  holdIfNeeded(): void {
    if (!this.#isHolding && this.#timer === undefined && this.#isHoldNeeded()) this.#hold();
  }

  /** Acknowledges ends up to a number; their effect is in the store. */
  acknowledge(sequence: number): void {
    if (sequence <= this.#acknowledgedEnd) return;
    this.#acknowledgedEnd = sequence;
    if (!this.#isHolding && this.#isHoldNeeded()) this.#schedule(0);
    else if (!this.#isHolding) this.#schedule(UNACKNOWLEDGED_DELAY_MS);
  }

  /** Handles a report that was applied to the host. */
  handleReport(report: HostReport | undefined): void {
    this.#isHolding = false;
    if (report === undefined) {
      if (this.#isHoldNeeded()) this.#schedule(RETRY_DELAY_MS);
      return;
    }
    if (this.#hasUnacknowledgedEnds()) this.#schedule(UNACKNOWLEDGED_DELAY_MS);
    else if (this.#isHoldNeeded()) this.#schedule(0);
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#link.close();
  }

  #hasUnacknowledgedEnds(): boolean {
    return this.#host.processedEnd > this.#acknowledgedEnd;
  }

  #isHoldNeeded(): boolean {
    return this.#host.runs.size > 0 || !this.#host.isFenced || this.#hasUnacknowledgedEnds();
  }

  #schedule(delayMs: number): void {
    if (this.#isHolding || this.#isClosed) return;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#hold();
    }, delayMs);
  }

  #hold(): void {
    if (this.#isHolding || this.#isClosed) return;
    this.#isHolding = true;
    const host = this.#host;
    const sentAt = this.#options.readClock();
    const hasRuns = host.runs.size > 0;
    // The lease of a host that does not answer is not extended, so that its end can be computed.
    const shouldRenew = hasRuns && host.silentCalls < MAX_UNANSWERED_CALLS;
    const leaseEndMs = shouldRenew
      ? host.computeLeaseEnd(this.#options.leaseMs, sentAt)
      : undefined;
    const canWait = hasRuns && host.isFenced && !this.#hasUnacknowledgedEnds();
    const order: HoldOrder = {
      token: this.#options.token,
      acknowledged: this.#acknowledgedEnd,
      ...(leaseEndMs === undefined ? {} : { leaseEndMs }),
      waitMs: canWait ? HOLD_WAIT_MS : 0,
    };
    this.#link.send({
      type: 'hold',
      order,
      reply: (outcome) => this.#options.onHoldResult(host, outcome, sentAt),
    });
  }
}
