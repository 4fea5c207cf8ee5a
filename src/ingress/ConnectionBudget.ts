import type { HeldTotals } from './HeldTotals.js';
import type { IngressBound, IngressSettings, WaitLimits, WaitTimeout } from './IngressSettings.js';

/** Estimated memory in bytes of the objects of one request and its response. */
export const REQUEST_BYTES = 8 * 1_024;
/** A body exists up to three times: as received, as text and as the record that is stored. */
export const BODY_COPIES = 3;

/** Options of a `ConnectionBudget`. */
export interface ConnectionBudgetOptions {
  /** Totals of the process, to which the connection adds what it occupies. */
  totals: HeldTotals;
  /** Time at which the connection was opened. */
  nowMs: number;
}

/** What a connection has transferred, read from its socket. */
export interface ConnectionSample {
  /** Bytes received and bytes that the caller has taken, since the connection was opened. */
  movedBytes: number;
  /** Bytes of responses that wait for the caller to read them. */
  unreadBytes: number;
  /** Bytes in memory of the bodies of requests that have not been started. */
  aheadBodyBytes: number;
  nowMs: number;
}

/**
 * What one connection of a caller occupies, and whether this is within the bounds of a connection.
 *
 * One request of a connection is served at a time, so that a caller that reads no responses gets no
 * further ones. The requests that it has sent ahead wait and are counted here.
 *
 * @example
 * ```ts
 * const totals = new HeldTotals();
 * const connection = new ConnectionBudget(IngressSettings.parse({}), { totals, nowMs: 0 });
 * connection.addRequest(120);
 * connection.startRequest(120, 1);
 * connection.addBody(4_000);
 * connection.finishRequest(5);
 * ```
 */
export class ConnectionBudget {
  readonly #settings: IngressSettings;

  readonly #totals: HeldTotals;

  #countedBytes = 0;

  #countedRequests = 0;

  #requestsAhead = 0;

  #aheadHeadBytes = 0;

  #aheadBodyBytes = 0;

  #runningBytes = 0;

  #isRunning = false;

  #isBodyComplete = false;

  #unreadBytes = 0;

  #hasBeenServed = false;

  #lastActiveMs: number;

  /** Time of the first byte of a header that has not ended, if there is one. */
  #headerSinceMs: number | undefined;

  #progressMs: number;

  #progressBytes = 0;

  #stalledMs = 0;

  #isClosed = false;

  constructor(settings: IngressSettings, { totals, nowMs }: ConnectionBudgetOptions) {
    this.#settings = settings;
    this.#totals = totals;
    this.#lastActiveMs = nowMs;
    this.#progressMs = nowMs;
  }

  /** Requests that have arrived and were not started. */
  get requestsAhead(): number {
    return this.#requestsAhead;
  }

  /** Bytes in memory of the requests that were not started. */
  get aheadBytes(): number {
    return this.#aheadHeadBytes + this.#aheadBodyBytes;
  }

  get unreadBytes(): number {
    return this.#unreadBytes;
  }

  /** Requests that are open: the one that is being served and those that wait. */
  get openRequests(): number {
    return this.#requestsAhead + (this.#isRunning ? 1 : 0);
  }

  /** Estimated memory in bytes that the connection occupies. */
  get heldBytes(): number {
    return (
      this.#requestsAhead * REQUEST_BYTES + this.aheadBytes + this.#unreadBytes + this.#runningBytes
    );
  }

  /** Part of `heldBytes` that is free again when the connection is closed. */
  get releasableBytes(): number {
    return this.isExecuting ? this.heldBytes - this.#runningBytes : this.heldBytes;
  }

  /** Checks whether a request is being executed, which goes on if the connection is closed. */
  get isExecuting(): boolean {
    return this.#isRunning && this.#isBodyComplete;
  }

  /** Checks whether a request of the connection has been answered. */
  get hasBeenServed(): boolean {
    return this.#hasBeenServed;
  }

  /** Time of the last start or end of a request; at first, when the connection was opened. */
  get lastActiveMs(): number {
    return this.#lastActiveMs;
  }

  /** Time in ms for which the connection has waited for its caller without progress. */
  get stalledMs(): number {
    return this.#stalledMs;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Marks that bytes of a header have arrived that has not ended. */
  markHeader(nowMs: number): void {
    this.#headerSinceMs ??= nowMs;
  }

  /** Adds a request whose header of `headBytes` has arrived. */
  addRequest(headBytes: number): void {
    this.#requestsAhead += 1;
    this.#aheadHeadBytes += headBytes;
    this.#headerSinceMs = undefined;
    this.#updateTotals();
  }

  /** Marks the next of the waiting requests as being served. */
  startRequest(headBytes: number, nowMs: number): void {
    this.#requestsAhead -= 1;
    this.#aheadHeadBytes -= headBytes;
    this.#isRunning = true;
    this.#isBodyComplete = false;
    this.#runningBytes = REQUEST_BYTES + headBytes;
    this.#resetProgress(nowMs);
    this.#updateTotals();
  }

  /** Adds bytes of the body of the request that is being served. */
  addBody(bytes: number): void {
    this.#runningBytes += bytes * BODY_COPIES;
    this.#updateTotals();
  }

  /** Marks the request that is being served as complete; it is now executed. */
  markComplete(nowMs: number): void {
    this.#isBodyComplete = true;
    this.#resetProgress(nowMs);
  }

  /** Marks the request that was being served as answered. */
  finishRequest(nowMs: number): void {
    this.#isRunning = false;
    this.#runningBytes = 0;
    this.#hasBeenServed = true;
    this.#resetProgress(nowMs);
    this.#updateTotals();
  }

  /** Marks the connection as closed; of its requests, only one that is executed still counts. */
  close(): void {
    this.#isClosed = true;
    this.#requestsAhead = 0;
    this.#aheadHeadBytes = 0;
    this.#aheadBodyBytes = 0;
    this.#unreadBytes = 0;
    if (!this.isExecuting) {
      this.#isRunning = false;
      this.#runningBytes = 0;
    }
    this.#updateTotals();
  }

  /** Updates what the socket shows, and returns the bound that the connection exceeds, if any. */
  update(sample: ConnectionSample): IngressBound | undefined {
    this.#unreadBytes = sample.unreadBytes;
    this.#aheadBodyBytes = sample.aheadBodyBytes;
    this.#updateTotals();
    const { maxRequestsAhead, maxAheadBytes, maxUnreadBytes } = this.#settings;
    if (this.#requestsAhead > maxRequestsAhead) return 'requests-ahead';
    if (this.aheadBytes > maxAheadBytes) return 'ahead-bytes';
    if (this.#unreadBytes > maxUnreadBytes) return 'unread-bytes';
    return this.#hasStalled(sample) ? 'progress' : undefined;
  }

  /**
   * Finds whether the caller has exceeded a time limit while no request is open: with a header that
   * does not end, or without sending anything. A connection with an open request is not closed for
   * its next header, since this would lose the response.
   */
  findTimeout(
    { headerTimeoutMs, idleTimeoutMs }: WaitLimits,
    nowMs: number,
  ): WaitTimeout | undefined {
    if (this.openRequests > 0 || this.#unreadBytes > 0) return undefined;
    if (this.#headerSinceMs === undefined) {
      return nowMs - this.#lastActiveMs > idleTimeoutMs ? 'idle' : undefined;
    }
    const sinceMs = Math.max(this.#headerSinceMs, this.#lastActiveMs);
    return nowMs - sinceMs > headerTimeoutMs ? 'header' : undefined;
  }

  #hasStalled({ movedBytes, nowMs }: ConnectionSample): boolean {
    const awaitsCaller = this.#unreadBytes > 0 || (this.#isRunning && !this.#isBodyComplete);
    const { minProgressBytes, progressTimeoutMs } = this.#settings;
    if (!awaitsCaller || movedBytes - this.#progressBytes >= minProgressBytes) {
      this.#progressMs = nowMs;
      this.#progressBytes = movedBytes;
    }
    this.#stalledMs = nowMs - this.#progressMs;
    return this.#stalledMs > progressTimeoutMs;
  }

  #updateTotals(): void {
    const { heldBytes, openRequests } = this;
    this.#totals.change(heldBytes - this.#countedBytes, openRequests - this.#countedRequests);
    this.#countedBytes = heldBytes;
    this.#countedRequests = openRequests;
  }

  #resetProgress(nowMs: number): void {
    this.#lastActiveMs = nowMs;
    this.#progressMs = nowMs;
  }
}
