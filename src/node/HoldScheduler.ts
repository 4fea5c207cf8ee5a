import type { HoldOrder, HostReport } from '../port/mod.js';
import type { ManagedHost } from '../schedule/mod.js';
import type { HoldOutcome, HostLink } from './HostLink.js';

/** Long polling: maximum time in ms that a host waits for a run to end before it responds. */
const HOLD_WAIT_MS = 1_000;
/** Delay in ms between holds while reported ends are not yet recorded in the store. */
const UNACKNOWLEDGED_DELAY_MS = 250;
/** Delay in ms between holds while the host lists a run that no job needs. */
const UNWANTED_DELAY_MS = 100;
/** Delay in ms after a failed hold. */
const RETRY_DELAY_MS = 300;

/** The lease is not renewed after this many consecutive unanswered calls. */
const MAX_UNANSWERED_CALLS = 2;

/** Options of a `HoldScheduler`. */
export interface HoldSchedulerOptions {
  token: number;
  leaseMs: number;
  readClock: () => number;
  /** Returns a pause in ms before the next hold, with which an overloaded owner sheds work. */
  getPauseMs: () => number;
  onHoldResult: (host: ManagedHost, outcome: HoldOutcome, sentAt: number) => void;
}

/** Acknowledged ends of a host; their numbers refer to the incarnation after its restarts so far. */
interface Acknowledgement {
  sequence: number;
  restartCount: number;
}

/**
 * Schedules the holds of one host, which renew its lease and acknowledge ended runs.
 *
 * At most one hold is in flight. While tasks run, the next hold is sent as soon as the previous one
 * completes, so that an end is reported when it happens. An idle host gets no further holds, unless
 * its last call was not answered: it receives no new work until it answers a hold.
 */
export class HoldScheduler {
  readonly #host: ManagedHost;

  readonly #link: HostLink;

  readonly #options: HoldSchedulerOptions;

  /** Address to which the link sends. */
  #address: string;

  #isHolding = false;

  #timer: NodeJS.Timeout | undefined;

  /** The last hold was answered by a report. */
  #isAnswering = false;

  /** Acknowledgement of the last hold, and the last one that was answered. */
  #sent: Acknowledgement = { sequence: 0, restartCount: 0 };

  #delivered: Acknowledgement = { sequence: 0, restartCount: 0 };

  #isClosed = false;

  constructor(host: ManagedHost, link: HostLink, options: HoldSchedulerOptions) {
    this.#host = host;
    this.#link = link;
    this.#options = options;
    this.#address = host.entry.address;
    this.holdIfNeeded();
  }

  get link(): HostLink {
    return this.#link;
  }

  /** Follows the address in the host's entry, which a restart under its identifier may change. */
  followAddress(): void {
    const { entry } = this.#host;
    if (entry.address === this.#address) return;
    this.#address = entry.address;
    this.#link.send({ type: 'set-target', target: entry });
  }

  /** Sends a hold if one is needed and none is in flight or scheduled. */
  holdIfNeeded(): void {
    if (!this.#isHolding && this.#timer === undefined && this.#isHoldNeeded()) this.#hold();
  }

  /** Schedules a hold that acknowledges the ends whose effects have been recorded in the store. */
  acknowledge(): void {
    if (!this.#hasUndeliveredAcknowledgement()) return;
    if (!this.#isHolding && this.#isHoldNeeded()) this.#schedule(0);
    else if (!this.#isHolding) this.#schedule(UNACKNOWLEDGED_DELAY_MS);
  }

  /** Schedules the next hold after a report was applied; undefined if the hold failed. */
  handleReport(report: HostReport | undefined): void {
    this.#isHolding = false;
    this.#isAnswering = report !== undefined;
    if (report === undefined) {
      if (this.#isHoldNeeded()) this.#schedule(RETRY_DELAY_MS);
      return;
    }
    if (this.#sent.sequence > 0) this.#delivered = this.#sent;
    if (this.#hasUndeliveredAcknowledgement()) this.#schedule(this.#options.getPauseMs());
    else if (this.#hasUnacknowledgedEnds()) this.#schedule(UNACKNOWLEDGED_DELAY_MS);
    else if (this.#host.hasUnwantedRuns) this.#schedule(UNWANTED_DELAY_MS);
    else if (this.#isHoldNeeded()) this.#schedule(this.#options.getPauseMs());
  }

  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer);
    this.#link.close();
  }

  #hasUnacknowledgedEnds(): boolean {
    return this.#host.processedEnd > this.#host.acknowledgedEnd;
  }

  #hasUndeliveredAcknowledgement(): boolean {
    const { acknowledgedEnd, restartCount } = this.#host;
    const isCurrent = this.#delivered.restartCount === restartCount;
    return acknowledgedEnd > (isCurrent ? this.#delivered.sequence : 0);
  }

  #isHoldNeeded(): boolean {
    const { runs, isFenced, hasUnwantedRuns, silentCalls } = this.#host;
    const isUnsettled = !isFenced || hasUnwantedRuns || silentCalls > 0;
    return runs.size > 0 || isUnsettled || this.#hasUnacknowledgedEnds();
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
    // The lease of an unresponsive host is not renewed, so that its expiry can be computed.
    const shouldRenew = hasRuns && host.silentCalls < MAX_UNANSWERED_CALLS;
    const leaseEndMs = shouldRenew
      ? host.computeLeaseEnd(this.#options.leaseMs, sentAt)
      : undefined;
    // After a failed hold the host may have restarted unnoticed: an acknowledgement would then make
    // it forget ends that have not been reported.
    const canAcknowledge = this.#isAnswering && this.#hasUndeliveredAcknowledgement();
    const acknowledged = canAcknowledge ? host.acknowledgedEnd : 0;
    this.#sent = { sequence: acknowledged, restartCount: host.restartCount };
    const canWait = hasRuns && host.isFenced && this.#isAnswering && !this.#hasUnacknowledgedEnds();
    const order: HoldOrder = {
      token: this.#options.token,
      acknowledged,
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
