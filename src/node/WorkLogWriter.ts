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
/** Time in ms after the last append of a record in which the store may still execute it. */
const LATE_EXECUTION_MS = 10_000;

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
      /** Asked before each append of the record; if it returns false, the write ends. */
      isAllowed?: (() => boolean) | undefined;
      reply: (outcome: WriteOutcome) => void;
    }
  | { type: 'can-write'; reply: (canWrite: boolean) => void }
  /** Asks whether a record with the key may still be stored by a write of this node. */
  | { type: 'is-open'; key: string; reply: (isOpen: boolean) => void }
  | { type: 'answered'; outcome: 'stored' | 'refused' | 'unanswered'; reason: string }
  | { type: 'send' };

interface PendingWrite {
  record: KeyedValue;
  reply: (outcome: WriteOutcome) => void;
  deadline: number;
  isAllowed: (() => boolean) | undefined;
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

  /**
   * Monotonic time in ms until which an unanswered append of a key may be executed; `Infinity` while
   * it is repeated.
   */
  readonly #openUntil = new Map<string, number>();

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
        this.#addWrite(message);
        break;
      case 'is-open':
        message.reply(this.#isOpen(message.key));
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

  /** Queues a write; while the store does not answer, it ends at once. */
  #addWrite({
    record,
    reply,
    deadline,
    isAllowed,
  }: WorkLogWriterMessage & { type: 'write' }): void {
    // An earlier append of the record may still be executed, so this write cannot end as not stored.
    const isUncertain = this.#isUncertain(record.key);
    if (this.#isFailing) {
      reply(isUncertain ? 'unknown' : 'not-stored');
      return;
    }
    const failures: PendingWrite['failures'] = isUncertain ? ['unanswered'] : [];
    this.#queue.push({ record, reply, deadline, isAllowed, failures });
    this.#flush();
  }

  #isOpen(key: string): boolean {
    const isPending = [...this.#inFlight, ...this.#queue].some(({ record }) => record.key === key);
    return isPending || this.#isUncertain(key);
  }

  /** Checks whether an unanswered append of a key may still be executed. */
  #isUncertain(key: string): boolean {
    return (this.#openUntil.get(key) ?? -Infinity) > this.#context.clock.readMonotonic();
  }

  #flush(): void {
    if (this.#inFlight.length > 0) return;
    this.#rejectDisallowed();
    if (this.#queue.length === 0) return;
    let bytes = 0;
    let count = 0;
    while (count < this.#queue.length && count < MAX_BATCH_RECORDS && bytes < MAX_BATCH_BYTES) {
      bytes += this.#queue[count]?.record.value?.length ?? 0;
      count += 1;
    }
    this.#inFlight = this.#queue.splice(0, count);
    this.#append(this.#inFlight.map(({ record }) => record)).then((message) => this.send(message));
  }

  /** Ends the queued writes that may no longer be appended, such as those of a revoked key. */
  #rejectDisallowed(): void {
    const rejected = this.#queue.filter(({ isAllowed }) => isAllowed?.() === false);
    if (rejected.length === 0) return;
    this.#queue = this.#queue.filter((write) => !rejected.includes(write));
    rejected.forEach(({ failures, reply }) =>
      reply(failures.includes('unanswered') ? 'unknown' : 'not-stored'),
    );
    this.#expireUncertain(this.#context.clock.readMonotonic());
    if (this.#queue.length === 0) this.#isFailing = false;
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
      writes.forEach(({ record, reply }) => {
        this.#openUntil.delete(record.key);
        reply('stored');
      });
      this.#flush();
      return;
    }
    this.#context.log.record('append-failed', 'work', { outcome, reason, records: writes.length });
    if (outcome === 'unanswered') this.#isFailing = true;
    const now = this.#context.clock.readMonotonic();
    this.#failedAt = now;
    if (outcome === 'unanswered') this.#markUncertain(writes, now);
    const retried = writes.filter((write) => !WorkLogWriter.#recordFailure(write, outcome, now));
    // Records that are still pending are retried before those that have not been sent yet.
    this.#queue = [...retried, ...this.#queue];
    this.#expireUncertain(now);
    if (this.#queue.length === 0) this.#isFailing = false;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.send({ type: 'send' }), RETRY_DELAY_MS);
  }

  /** Marks the records of an unanswered append, also for queued writes of the same records. */
  #markUncertain(writes: readonly PendingWrite[], now: number): void {
    this.#openUntil.forEach((until, key) => {
      if (until <= now) this.#openUntil.delete(key);
    });
    writes.forEach(({ record }) => this.#openUntil.set(record.key, Infinity));
    this.#queue
      .filter(({ record }) => this.#openUntil.has(record.key))
      .forEach(({ failures }) => failures.push('unanswered'));
  }

  /** Sets the time until which records count as open whose writes have ended without an answer. */
  #expireUncertain(now: number): void {
    const pending = new Set(this.#queue.map(({ record }) => record.key));
    this.#openUntil.forEach((until, key) => {
      if (until === Infinity && !pending.has(key)) {
        this.#openUntil.set(key, now + LATE_EXECUTION_MS);
      }
    });
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
