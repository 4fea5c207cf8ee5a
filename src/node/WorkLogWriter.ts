import { Actor } from '../actor/mod.js';
import { StoreRefusedError, type KeyedValue } from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';

/** Records of one append at most. */
const MAX_BATCH_RECORDS = 200;
/** Bytes of one append at most, well below what the store accepts. */
const MAX_BATCH_BYTES = 512 * 1_024;
/** Longest wait for the store's answer to an append, in ms. */
const APPEND_TIMEOUT_MS = 700;
/** Refused appends after which a record is reported as not stored. */
const MAX_REFUSALS = 3;
/** A failed append tells for this time in ms that the next one will fail. */
const UNAVAILABLE_AFTER_FAILURE_MS = 500;
/** Pause after a refused or unanswered append, in ms. */
const RETRY_DELAY_MS = 60;

/** What became of a record. */
export type WriteOutcome =
  | 'stored'
  /** It was certainly not stored and will not be. */
  | 'not-stored'
  /** It may have been stored, or may be later. */
  | 'unknown';

/** Messages of the writer. */
export type WorkLogWriterMessage =
  | {
      type: 'write';
      record: KeyedValue;
      /** Steady time at which the outcome is reported as unknown, if it is. */
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
  /** Appends of the record that failed, in order. */
  failures: ('refused' | 'unanswered')[];
}

/**
 * Appends the records of callers to the work log, several in one call, one call at a time.
 *
 * A record that was in an unanswered append is appended again, since records are keyed and a second
 * copy changes nothing; it is never reported as not stored. While the store does not answer, new
 * records are refused at once instead of waiting for it.
 */
export class WorkLogWriter extends Actor<WorkLogWriterMessage> {
  readonly #context: NodeContext;

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
    try {
      const answer = await this.#context.store.append(records, { timeoutMs: APPEND_TIMEOUT_MS });
      if (answer.type === 'appended') return { type: 'answered', outcome: 'stored', reason: '' };
      const reason = answer.type === 'refused' ? answer.reason : answer.type;
      return { type: 'answered', outcome: 'refused', reason };
    } catch (error) {
      const outcome = error instanceof StoreRefusedError ? 'refused' : 'unanswered';
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
    // Records whose outcome is unknown go on being appended; the others wait for the next turn.
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

  /** Counts a failed append; answers the caller and returns true after too many. */
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
