import { RetryBackoff } from './RetryBackoff.js';

/** Maximum delay in ms between repeated appends; the end of an outage is found within 0.5 s. */
const MAX_RETRY_DELAY_MS = 450;
/** An unanswered read counts only if the store has answered no append for this time in ms. */
const MIN_ANSWER_VALID_MS = 200;
/** This time is at least this multiple of the expected latency: appends of a slow store take longer. */
const ANSWER_VALID_LATENCIES = 2;
/**
 * An append without an answer for this time in ms opens the breaker even if reads succeed: a store
 * that is slow refuses appends that would have to wait longer than 2 s.
 */
const SILENT_APPEND_MS = 2_400;

/** A timer of Node.js may fire up to 1 ms early; a process under load measures other differences. */
const TIMER_TOLERANCE_MS = 10;

/** State of the circuit breaker. */
export type BreakerState =
  /** Appends are sent. */
  | 'closed'
  /** The store does not answer; no record is sent that has not been sent before. */
  | 'open'
  /** One append is sent to find out whether the store answers again. */
  | 'probing';

/** How an append without an answer ended. */
export interface AppendFailure {
  /** Time in ms from sending the append to its failure. */
  waitedMs: number;
  /** Time limit of the append in ms. */
  timeoutMs: number;
}

/**
 * Circuit breaker of the appends of one node: decides whether the store answers.
 *
 * An append that is sent while the store does not answer leaves its caller without an outcome. A
 * caller whose record was not sent can be refused at once, and this refusal is true. The breaker
 * opens when an append fails before its time limit (the connection was reset), when it
 * exceeds the limit while reads are not answered, or when it has waited longer than a slow store lets an append
 * wait. A time limit alone does not open it: an append often exceeds the limit when the store has
 * just become slow. It also opens when reads are not answered while no append is answered or within
 * its time limit. Calls that the
 * store refuses, or that cannot be sent, do not open it, since their outcome is known.
 *
 * Records that were sent before are repeated and thereby probe the store. Without such a record, a
 * new one is sent as a probe, but only after the last read was answered.
 *
 * @example
 * ```ts
 * const health = new StoreHealth();
 * health.recordFailure({ waitedMs: 3, timeoutMs: 700 }, now); // the connection was reset
 * health.canSend(now); // false
 * health.recordAnswer(now);
 * health.canSend(now); // true
 * ```
 */
export class StoreHealth {
  readonly #backoff: RetryBackoff;

  #state: BreakerState = 'closed';

  /** The breaker was opened by an append, not only by reads. */
  #hasAppendFailed = false;

  #isReadable = true;

  #answeredAt = -Infinity;

  /** Monotonic time in ms of the time limit of the append in flight; `-Infinity` without one. */
  #limitAt = -Infinity;

  #retryAt = -Infinity;

  constructor(random: () => number = Math.random) {
    this.#backoff = new RetryBackoff({ maxMs: MAX_RETRY_DELAY_MS, random });
  }

  get state(): BreakerState {
    return this.#state;
  }

  /** Checks whether an append without an answer exceeded its time limit; otherwise it was reset. */
  static isTimeout({ waitedMs, timeoutMs }: AppendFailure): boolean {
    return waitedMs >= timeoutMs - TIMER_TOLERANCE_MS;
  }

  /** Monotonic time in ms before which no append is sent. */
  get retryAt(): number {
    return this.#retryAt;
  }

  /** Checks whether a record that was not sent before may be sent at a monotonic time in ms. */
  canSend(now: number): boolean {
    if (this.#state === 'closed') return true;
    return this.#state === 'open' && this.#isReadable && now >= this.#retryAt;
  }

  /**
   * Records that an append is sent, with the monotonic time in ms of its time limit; while the
   * breaker is open it is the probe.
   */
  recordSent(limitAt = -Infinity): void {
    this.#limitAt = limitAt;
    if (this.#state === 'open') this.#state = 'probing';
  }

  /** Records an answered append at a monotonic time in ms. */
  recordAnswer(now: number): void {
    this.#limitAt = -Infinity;
    this.#close(now);
    this.#backoff.reset();
    this.#retryAt = -Infinity;
  }

  /** Records an append that the store answered with a refusal: it is available but overloaded. */
  recordRefusal(now: number): void {
    this.#limitAt = -Infinity;
    this.#close(now);
    this.#retryAt = now + this.#backoff.computeDelay();
  }

  /** Records an append that was not sent since the connection failed; its outcome is known. */
  recordUnsent(now: number): void {
    this.#limitAt = -Infinity;
    if (this.#state === 'probing') this.#state = 'open';
    this.#retryAt = now + this.#backoff.computeDelay();
  }

  /** Records an append that was not answered, at a monotonic time in ms. */
  recordFailure({ waitedMs, timeoutMs }: AppendFailure, now: number): void {
    this.#limitAt = -Infinity;
    this.#retryAt = now + this.#backoff.computeDelay();
    const isTimeout = StoreHealth.isTimeout({ waitedMs, timeoutMs });
    const isSlow = isTimeout && this.#isReadable && waitedMs < SILENT_APPEND_MS;
    if (isSlow && this.#state === 'closed') return;
    this.#hasAppendFailed = true;
    this.#state = 'open';
  }

  /**
   * Records whether the last read was answered, at a monotonic time in ms. An unanswered one opens the
   * breaker only if no append is within its time limit and none was answered shortly before, as
   * compared with the expected latency of appends in ms.
   */
  recordRead(isAnswered: boolean, now: number, latencyMs = 0): void {
    const isRegained = isAnswered && !this.#isReadable;
    this.#isReadable = isAnswered;
    if (isRegained) {
      if (this.#state === 'open' && !this.#hasAppendFailed) this.#close(this.#answeredAt);
      this.#retryAt = Math.min(this.#retryAt, now);
    }
    if (isAnswered || this.#state !== 'closed') return;
    const validMs = Math.max(MIN_ANSWER_VALID_MS, ANSWER_VALID_LATENCIES * latencyMs);
    if (now > this.#limitAt && now - this.#answeredAt > validMs) this.#state = 'open';
  }

  #close(answeredAt: number): void {
    this.#state = 'closed';
    this.#hasAppendFailed = false;
    this.#answeredAt = answeredAt;
  }
}
