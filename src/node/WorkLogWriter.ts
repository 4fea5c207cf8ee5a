import { Actor } from '../actor/mod.js';
import { StoreRefusedError, type KeyedValue } from '../port/mod.js';
import { AppendLatency } from './AppendLatency.js';
import type { NodeContext } from './NodeContext.js';

/** Maximum number of records in one append. */
const MAX_BATCH_RECORDS = 200;
/** No records are added to an append that has reached this size; well below the store's limit. */
const MAX_BATCH_BYTES = 512 * 1_024;
/** A record is reported as not stored after this many refused appends. */
const MAX_REFUSALS = 3;
/** After a failed append the writer reports for this time in ms that it cannot write. */
const UNAVAILABLE_AFTER_FAILURE_MS = 500;
/** Delay in ms after a refused or unanswered append. */
const RETRY_DELAY_MS = 60;

/** Outcome of a write. */
export type WriteOutcome =
  | 'stored'
  /** The record was not stored and will not be. */
  | 'not-stored'
  /** The record may have been stored or may still be stored. */
  | 'unknown';

/** Messages of a `WorkLogWriter`. */
export type WorkLogWriterMessage =
  | {
      type: 'write';
      record: KeyedValue;
      /** Monotonic time in ms after which the first failed append ends the write. */
      deadline: number;
      reply: (outcome: WriteOutcome) => void;
    }
  | { type: 'can-write'; reply: (canWrite: boolean) => void }
  | { type: 'answered'; outcome: 'stored' | 'refused' | 'unanswered'; reason: string }
  | { type: 'send' };

interface PendingWrite {
  record: KeyedValue;
  reply: (outcome: WriteOutcome) => void;
  deadline: number;
  /** Results of the failed appends of the record, in order. */
  failures: ('refused' | 'unanswered')[];
}

/**
 * Appends the records of callers to the work log in batches, one append at a time.
 *
 * A record of an unanswered append is appended again, which is idempotent since records are keyed;
 * it is never reported as not stored. While the store does not answer, new records are rejected
 * immediately instead of being queued.
 */
export class WorkLogWriter extends Actor<WorkLogWriterMessage> {
  readonly #context: NodeContext;

  readonly #latency = new AppendLatency();

  #queue: PendingWrite[] = [];

  #inFlight: PendingWrite[] = [];

  #isFailing = false;

  #failedAt = -Infinity;

  #timer: NodeJS.Timeout | undefined;

  constructor(context: NodeContext) {
    super(context.scope, 'work-writer');
    this.#context = context;
  }

  protected override receive(message: WorkLogWriterMessage): void {
    switch (message.type) {
      case 'write':
        if (this.#isFailing) {
          message.reply('not-stored');
          return;
        }
        this.#queue.push({
          record: message.record,
          reply: message.reply,
          deadline: message.deadline,
          failures: [],
        });
        this.#flush();
        break;
      case 'send':
        this.#flush();
        break;
      case 'can-write':
        message.reply(this.#canWrite());
        break;
      default:
        this.#handleAppendResult(message.outcome, message.reason);
    }
  }

  override close(): void {
    clearTimeout(this.#timer);
    super.close();
  }

  #flush(): void {
    if (this.#inFlight.length > 0 || this.#queue.length === 0) return;
    let bytes = 0;
    let count = 0;
    while (count < this.#queue.length && count < MAX_BATCH_RECORDS && bytes < MAX_BATCH_BYTES) {
      bytes += this.#queue[count]?.record.value?.length ?? 0;
      count += 1;
    }
    this.#inFlight = this.#queue.splice(0, count);
    this.#append(this.#inFlight.map(({ record }) => record)).then((message) => this.send(message));
  }

  async #append(records: KeyedValue[]): Promise<WorkLogWriterMessage> {
    const sentAt = this.#context.clock.readMonotonic();
    try {
      const { timeoutMs } = this.#latency;
      const answer = await this.#context.store.append(records, { timeoutMs });
      this.#latency.recordAnswer(this.#context.clock.readMonotonic() - sentAt);
      if (answer.type === 'appended') return { type: 'answered', outcome: 'stored', reason: '' };
      const reason = answer.type === 'refused' ? answer.reason : answer.type;
      return { type: 'answered', outcome: 'refused', reason };
    } catch (error) {
      const outcome = error instanceof StoreRefusedError ? 'refused' : 'unanswered';
      if (outcome === 'unanswered') this.#latency.recordTimeout();
      return { type: 'answered', outcome, reason: String(error) };
    }
  }

  #handleAppendResult(outcome: 'stored' | 'refused' | 'unanswered', reason: string): void {
    const writes = this.#inFlight;
    this.#inFlight = [];
    if (outcome === 'stored') {
      this.#isFailing = false;
      this.#failedAt = -Infinity;
      writes.forEach(({ reply }) => reply('stored'));
      this.#flush();
      return;
    }
    this.#context.log.record('append-failed', 'work', { outcome, reason, records: writes.length });
    if (outcome === 'unanswered') this.#isFailing = true;
    const now = this.#context.clock.readMonotonic();
    this.#failedAt = now;
    const retried = writes.filter((write) => !WorkLogWriter.#recordFailure(write, outcome, now));
    // Records that are still pending are retried before those that have not been sent yet.
    this.#queue = [...retried, ...this.#queue];
    if (this.#queue.length === 0) this.#isFailing = false;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.send({ type: 'send' }), RETRY_DELAY_MS);
  }

  #canWrite(): boolean {
    return (
      !this.#isFailing &&
      this.#context.clock.readMonotonic() - this.#failedAt > UNAVAILABLE_AFTER_FAILURE_MS
    );
  }

  /** Records a failed append; returns true if this ended the write and its outcome was replied. */
  static #recordFailure(
    write: PendingWrite,
    outcome: 'refused' | 'unanswered',
    now: number,
  ): boolean {
    const { failures } = write;
    failures.push(outcome);
    const isUnknown = failures.includes('unanswered');
    if (isUnknown && now >= write.deadline) {
      write.reply('unknown');
      return true;
    }
    if (!isUnknown && (failures.length >= MAX_REFUSALS || now >= write.deadline)) {
      write.reply('not-stored');
      return true;
    }
    return false;
  }
}
