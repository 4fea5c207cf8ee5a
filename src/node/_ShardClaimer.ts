import { WorkLogKey, type OwnerRecord } from '../workLog/mod.js';
import { AppendLatency } from './AppendLatency.js';
import type { NodeContext } from './NodeContext.js';
import { OwnerWriter, type ClaimResult } from './OwnerWriter.js';
import { RetryBackoff } from './RetryBackoff.js';

/**
 * Minimum delay in ms before the next claim. The claim of this node, or that of another one after a
 * lost claim, is usually read within this time.
 */
const RETRY_DELAY_MS = 300;
/** Maximum delay in ms before a claim that the store refused is retried. */
const MAX_REFUSED_DELAY_MS = 1_000;
/** Minimum timeout in ms of a claim. */
const MIN_TIMEOUT_MS = 1_500;
/** Time in ms for which the latency of the last append of this node counts. */
const LATENCY_VALID_MS = 5_000;
/** Upper bound of the random sequence numbers that distinguish two claims with the same token. */
const MAX_FIRST_SEQUENCE = 1_000_000_000;

/** Result of a claim and the time in ms that it took. */
export interface SettledClaim {
  result: ClaimResult;
  token: number;
  tookMs: number;
}

/** What a claim records. */
export interface ClaimInputs {
  /** The owner that is replaced; undefined if there is none. */
  owner: OwnerRecord | undefined;
  unrecorded: readonly string[];
  /** Offset up to which this node has read the work log. */
  readTo: number;
  /** Time in ms since the last record of the owner was read. */
  silentMs: number;
}

/** Appends the claims of a node, one at a time, at a pace that the store permits. */
export class ShardClaimer {
  readonly #context: NodeContext;

  readonly #random: () => number;

  readonly #timeout = new AppendLatency();

  readonly #backoff = new RetryBackoff({ maxMs: MAX_REFUSED_DELAY_MS });

  #isClaiming = false;

  #notBefore = 0;

  /** Token and sequence number of the last claim. */
  #token: number | undefined;

  #sequence = 0;

  /** Expected latency in ms of the appends of this node, and when it was measured. */
  #latency = { ms: 0, at: -Infinity };

  constructor(context: NodeContext, random: () => number) {
    this.#context = context;
    this.#random = random;
  }

  /** Token of the last claim; undefined before the first one. */
  get token(): number | undefined {
    return this.#token;
  }

  /** Sequence number of the last claim. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Expected latency in ms of the appends of this node; 0 if there were none recently. */
  get latencyMs(): number {
    const isValid = this.#context.clock.readMonotonic() - this.#latency.at <= LATENCY_VALID_MS;
    return isValid ? this.#latency.ms : 0;
  }

  /** Checks whether a claim may be sent at a monotonic time in ms. */
  canClaim(now: number): boolean {
    return !this.#isClaiming && now >= this.#notBefore;
  }

  /** Records the latency in ms of another append of this node. */
  recordLatency(ms: number): void {
    this.#latency = { ms, at: this.#context.clock.readMonotonic() };
  }

  /** Sends a claim; its result is to be passed to `settle`. */
  async claim({ owner, unrecorded, readTo, silentMs }: ClaimInputs): Promise<SettledClaim> {
    const { settings, session, clock, log } = this.#context;
    const startedAt = clock.readMonotonic();
    const token = (owner?.token ?? 0) + 1;
    this.#isClaiming = true;
    if (token !== this.#token) this.#sequence = Math.floor(this.#random() * MAX_FIRST_SEQUENCE);
    this.#token = token;
    log.record('claim-begun', String(token), {
      before: owner?.node,
      silentMs: Math.round(silentMs),
      end: readTo,
    });
    const { name: node, dataCentre } = settings;
    const value = JSON.stringify({ token, node, session, dataCentre, unrecorded, readTo });
    const result = await OwnerWriter.claim(this.#context, {
      record: { key: WorkLogKey.owner, value },
      token,
      sequence: this.#sequence,
      timeoutMs: Math.max(MIN_TIMEOUT_MS, this.#timeout.timeoutMs),
    });
    return { result, token, tookMs: clock.readMonotonic() - startedAt };
  }

  /** Ends a claim; returns the delay in ms after which the next one may be sent. */
  settle({ result, token, tookMs }: SettledClaim): number {
    const now = this.#context.clock.readMonotonic();
    this.#isClaiming = false;
    if (result === 'unknown') this.#timeout.recordTimeout();
    if (result === 'claimed' || result === 'lost') {
      this.#timeout.recordAnswer(tookMs);
      this.#backoff.reset();
      this.recordLatency(tookMs);
    }
    const delayMs = this.#computeDelay(result);
    this.#notBefore = now + delayMs;
    this.#context.log.record('claim', String(token), { result, tookMs: Math.round(tookMs) });
    return delayMs;
  }

  #computeDelay(result: ClaimResult): number {
    if (result === 'refused') return this.#backoff.computeDelay();
    return Math.max(RETRY_DELAY_MS, this.#timeout.averageMs);
  }
}
