import { measureRecord, StoreRefusedError, type KeyedValue } from '../port/mod.js';
import { AppendLatency } from './AppendLatency.js';
import type { NodeContext } from './NodeContext.js';
import { splitAppend } from './splitAppend.js';
import { RetryBackoff } from './RetryBackoff.js';

/** Writer name that all owners share; the fencing token is the epoch. */
const WRITER_NAME = 'owner';
/** Maximum delay in ms before an append is repeated; only one node repeats the owner's appends. */
const MAX_RETRY_DELAY_MS = 250;

/** Result of a claim; a refused one may succeed later, a lost one cannot. */
export type ClaimResult = 'claimed' | 'lost' | 'refused' | 'unknown';

/** Maximum size of an append in bytes, so that it is fast on a slow link, too. */
const MAX_APPEND_BYTES = 524_288;

/** Result of an append. */
export type OwnerWriteResult =
  /** All records are stored but those whose keys are listed, which the store never accepts. */
  | { type: 'stored'; rejected: string[] }
  /** A later owner has written. */
  | { type: 'fenced' };

type AttemptResult = 'stored' | 'fenced' | 'rejected' | 'retry';

/**
 * Appends the records of an owner in order, one append at a time. An unanswered append is retried
 * unchanged with the same sequence number, so that it takes effect only once.
 */
export class OwnerWriter {
  readonly #context: NodeContext;

  readonly #token: number;

  readonly #latency = new AppendLatency();

  readonly #backoff = new RetryBackoff({ maxMs: MAX_RETRY_DELAY_MS });

  #sequence: number;

  #isClosed = false;

  constructor(context: NodeContext, { token, sequence }: { token: number; sequence: number }) {
    this.#context = context;
    this.#token = token;
    this.#sequence = sequence + 1;
  }

  /** Latency in ms of recent appends. */
  get latencyMs(): number {
    return this.#latency.averageMs;
  }

  /**
   * Appends a claim of the shard. The store rejects a token that is lower than an earlier one. Of
   * two claims with the same token it accepts only the first, since their sequence numbers differ.
   * After the claim it rejects the appends of earlier owners, so a new owner that has read the log
   * up to its own claim has seen everything that they recorded.
   */
  static async claim(
    context: NodeContext,
    claim: { record: KeyedValue; token: number; sequence: number; timeoutMs: number },
  ): Promise<ClaimResult> {
    const { record, token, sequence, timeoutMs } = claim;
    try {
      const answer = await context.store.append([record], {
        writer: { name: WRITER_NAME, epoch: token, sequence },
        timeoutMs,
      });
      if (answer.type === 'refused') return 'refused';
      return answer.type === 'appended' ? 'claimed' : 'lost';
    } catch (error) {
      return error instanceof StoreRefusedError ? 'refused' : 'unknown';
    }
  }

  /**
   * Appends records, retrying until they are stored or a later owner has written. Records that are
   * too large together are stored by several appends, in their order.
   */
  async append(records: readonly KeyedValue[]): Promise<OwnerWriteResult> {
    const { requestBytes } = this.#context.settings.store;
    const pending = splitAppend(records, Math.min(MAX_APPEND_BYTES, requestBytes));
    const rejected: string[] = [];
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      const result = await this.#appendOnce(next);
      if (result === 'fenced') return { type: 'fenced' };
      if (result === 'rejected' && next.length > 1) {
        // Only one of the records may be the cause.
        const half = Math.ceil(next.length / 2);
        pending.unshift(next.slice(0, half), next.slice(half));
      } else if (result === 'rejected') {
        next.forEach((record) => {
          this.#context.log.record('record-rejected', record.key, {
            bytes: measureRecord(record),
          });
          rejected.push(record.key);
        });
      }
    }
    return { type: 'stored', rejected };
  }

  /** Appends records at once, retrying until the outcome is known or the writer is closed. */
  async #appendOnce(records: readonly KeyedValue[]): Promise<'stored' | 'fenced' | 'rejected'> {
    for (;;) {
      const result = await this.#tryAppend(records);
      if (result === 'stored') {
        this.#sequence += 1;
        this.#backoff.reset();
      }
      if (result !== 'retry') return result;
      if (this.#isClosed) return 'fenced';
      await new Promise((resolve) => {
        setTimeout(resolve, this.#backoff.computeDelay());
      });
    }
  }

  /** Stops retrying the append in flight. */
  close(): void {
    this.#isClosed = true;
  }

  async #tryAppend(records: readonly KeyedValue[]): Promise<AttemptResult> {
    const writer = { name: WRITER_NAME, epoch: this.#token, sequence: this.#sequence };
    const sentAt = this.#context.clock.readMonotonic();
    try {
      const answer = await this.#context.store.append(records, {
        writer,
        timeoutMs: this.#latency.timeoutMs,
      });
      // A refusal is faster than an append, so it does not show the latency of appends.
      if (answer.type !== 'refused')
        this.#latency.recordAnswer(this.#context.clock.readMonotonic() - sentAt);
      if (answer.type === 'appended') return 'stored';
      if (answer.type === 'fenced') return 'fenced';
      if (answer.type === 'sequence' && answer.expected === this.#sequence + 1) return 'stored';
      this.#context.log.record('append-failed', 'owner', {
        token: this.#token,
        sequence: this.#sequence,
        answer,
      });
      if (answer.type === 'rejected') return 'rejected';
      return answer.type === 'sequence' ? 'fenced' : 'retry';
    } catch (error) {
      this.#context.log.record('append-failed', 'owner', {
        token: this.#token,
        sequence: this.#sequence,
        error: String(error),
      });
      if (!(error instanceof StoreRefusedError)) this.#latency.recordTimeout();
      return 'retry';
    }
  }
}
