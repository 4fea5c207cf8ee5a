import type { HoldOrder, HostReport } from '../port/mod.js';
import type { ManagedHost } from '../schedule/mod.js';
import type { HoldOutcome, HostLink } from './HostLink.js';

/** Longest time in ms that a host waits for an end before it answers a hold. */
const HOLD_WAIT_MS = 1_000;
/** Pause in ms between holds while reported ends are not yet in the store. */
const UNACKNOWLEDGED_PAUSE_MS = 250;
/** Pause in ms after a hold that was not answered. */
const RETRY_MS = 300;

/** Unanswered calls in a row after which the lease is not extended any more. */
const MAX_SILENT_CALLS = 2;

/** Figures and callbacks of a watch. */
export interface HostWatchOptions {
  token: number;
  leaseMs: number;
  readClock: () => number;
  onHeld: (host: ManagedHost, outcome: HoldOutcome, sentAt: number) => void;
}

/**
 * The owner's watch over one host: when to hold its lease and what to acknowledge.
 *
 * At most one hold is under way. While something runs, a hold follows the one before at once, so
 * that an end is learned when it happens; an idle host is left alone.
 */
export class HostWatch {
  readonly #host: ManagedHost;

  readonly #link: HostLink;

  readonly #options: HostWatchOptions;

  #isHolding = false;

  #timer: NodeJS.Timeout | undefined;

  #acknowledged = 0;

  #isClosed = false;

  constructor(host: ManagedHost, link: HostLink, options: HostWatchOptions) {
    this.#host = host;
    this.#link = link;
    this.#options = options;
    this.wake();
  }

  get link(): HostLink {
    return this.#link;
  }

  /** Holds now if there is a reason to and no hold is under way or planned. */
  wake(): void {
    if (!this.#isHolding && this.#timer === undefined && this.#isNeeded()) this.#hold();
  }

  /** Acknowledges ends up to a number; their effect is in the store. */
  acknowledge(number: number): void {
    if (number <= this.#acknowledged) return;
    this.#acknowledged = number;
    if (!this.#isHolding && this.#isNeeded()) this.#schedule(0);
    else if (!this.#isHolding) this.#schedule(UNACKNOWLEDGED_PAUSE_MS);
  }

  /** Handles a report that was applied to the host. */
  handleReport(report: HostReport | undefined): void {
    this.#isHolding = false;
    if (report === undefined) {
      if (this.#isNeeded()) this.#schedule(RETRY_MS);
      return;
    }
    if (this.#hasOpenEnds()) this.#schedule(UNACKNOWLEDGED_PAUSE_MS);
    else if (this.#isNeeded()) this.#schedule(0);
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#link.close();
  }

  #hasOpenEnds(): boolean {
    return this.#host.processedEnd > this.#acknowledged;
  }

  #isNeeded(): boolean {
    return this.#host.runs.size > 0 || !this.#host.isFenced || this.#hasOpenEnds();
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
    const mayExtend = hasRuns && host.silentCalls < MAX_SILENT_CALLS;
    const leaseEndMs = mayExtend ? host.computeLeaseEnd(this.#options.leaseMs, sentAt) : undefined;
    const mayWait = hasRuns && host.isFenced && !this.#hasOpenEnds();
    const order: HoldOrder = {
      token: this.#options.token,
      acknowledged: this.#acknowledged,
      ...(leaseEndMs === undefined ? {} : { leaseEndMs }),
      waitMs: mayWait ? HOLD_WAIT_MS : 0,
    };
    this.#link.send({
      type: 'hold',
      order,
      reply: (outcome) => this.#options.onHeld(host, outcome, sentAt),
    });
  }
}
