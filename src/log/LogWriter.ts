import { randomUUID } from 'node:crypto';
import { Actor, type ActorScope } from '../actor/mod.js';
import { encodeRecord, type RecordBody } from '../record/mod.js';
import { describeProposal } from '../timeline/mod.js';
import { AppendQueue, type AppendGroup, type SentItem } from './AppendQueue.js';
import { Backoff } from './Backoff.js';
import type { LogClient } from './LogClient.js';
import { FLEET_STREAM } from './LogRecordSource.js';

/** 20 appends per second leave room for other controllers within the platform's rate limit. */
const APPEND_INTERVAL_MS = 50;
/** Space reserved for the writer id and the sequence number that are encoded with a record body. */
const ENVELOPE_BYTES = 100;

/** Identifies an appended record. */
export interface RecordId {
  writer: string;
  sequence: number;
}

/** Result of submitting records. */
export type LogSubmitResult =
  | { outcome: 'appended'; ids: RecordId[] }
  /** None of the records takes effect, now or later. */
  | { outcome: 'not-applied'; reason: string }
  /** Some of the records may have been appended, or may still be appended. */
  | { outcome: 'unknown'; reason: string };

/** Appends one record without reporting the result. */
export interface AppendMessage {
  type: 'append';
  body: RecordBody;
}

/** Messages handled by a log writer. */
export type LogWriterMessage =
  | AppendMessage
  /** Replaces the queued records of the proposer, so that outdated decisions are not appended. */
  | { type: 'propose'; proposer: string; bodies: RecordBody[] }
  /** Appends all records in order and replies within `timeoutMs`. */
  | {
      type: 'submit';
      bodies: RecordBody[];
      timeoutMs: number;
      reply: (answer: LogSubmitResult) => void;
    }
  /** The log has been applied up to `nextOffset`, and this writer's records up to `sequence`. */
  | { type: 'folded'; sequence: number; nextOffset: number }
  | { type: 'expire'; group: AppendGroup<RecordBody> }
  | { type: 'flush' }
  | { type: 'appended' }
  | { type: 'failed'; reason: string }
  | { type: 'head'; head: number };

interface Submission {
  reply: (answer: LogSubmitResult) => void;
  timer: NodeJS.Timeout;
  ids: RecordId[];
}

function buildGroup(bodies: RecordBody[], proposer?: string): AppendGroup<RecordBody> {
  const items = bodies.map((value) => {
    // Values are sent as JSON strings within the JSON request, so their quotes are escaped twice.
    const bytes = Buffer.byteLength(JSON.stringify(JSON.stringify(value))) + ENVELOPE_BYTES;
    return { value, bytes };
  });
  return { items, proposer };
}

/** Options of a log writer. */
export interface LogWriterOptions {
  client: LogClient;
  random?: () => number;
}

/**
 * Appends records in batches, one append request at a time.
 *
 * When the outcome of an append is unknown, the writer reads the head of the log, waits until the
 * log has been applied up to it, and resends only the records that have not been applied. If the
 * first append takes effect after that, its records are ignored as duplicates by their sequence
 * numbers.
 */
export class LogWriter extends Actor<LogWriterMessage> {
  readonly #client: LogClient;

  readonly #writerId = randomUUID();

  readonly #queue = new AppendQueue<RecordBody>();

  readonly #backoff: Backoff;

  readonly #submissions = new Map<AppendGroup<RecordBody>, Submission>();

  #flushTimer: NodeJS.Timeout | undefined;

  #isRequestPending = false;

  #appliedOffset = 0;

  /**
   * Head of the log after an in-doubt append. The log must be applied up to it before appending.
   */
  #resumeOffset: number | undefined;

  #lastError = '';

  constructor(scope: ActorScope, options: LogWriterOptions) {
    super(scope, 'log-writer');
    this.#client = options.client;
    this.#backoff = new Backoff(options.random ?? Math.random);
  }

  /** Id of this writer in the records it appends. */
  get writer(): string {
    return this.#writerId;
  }

  protected override receive(message: LogWriterMessage): void {
    switch (message.type) {
      case 'append':
        this.#queue.put(buildGroup([message.body]));
        break;
      case 'propose':
        this.#queue.replace({
          ...buildGroup(message.bodies, message.proposer),
          proposer: message.proposer,
        });
        break;
      case 'submit':
        this.#submit(message.bodies, message.timeoutMs, message.reply);
        break;
      case 'expire':
        this.#expire(message.group);
        break;
      case 'folded':
        this.#appliedOffset = Math.max(this.#appliedOffset, message.nextOffset);
        this.#settleSubmissions(this.#queue.markApplied(message.sequence));
        if (this.#resumeOffset !== undefined && this.#appliedOffset >= this.#resumeOffset)
          this.#append();
        break;
      case 'flush':
        this.#flushTimer = undefined;
        this.#flush();
        break;
      case 'appended':
        this.#isRequestPending = false;
        this.#backoff.recordSuccess();
        this.#settleSubmissions(this.#queue.confirmBatch());
        break;
      case 'failed':
        this.#isRequestPending = false;
        this.#lastError = message.reason;
        this.#queue.markInDoubt();
        this.#scheduleFlush(this.#backoff.recordFailure());
        break;
      default:
        this.#isRequestPending = false;
        this.#resumeOffset = message.head;
        if (this.#appliedOffset >= message.head) this.#append();
        else this.#scheduleFlush(this.#backoff.recordFailure());
    }
    if (this.#queue.hasWaiting && !this.#isRequestPending && !this.#queue.isInDoubt) {
      this.#flushTimer ??= setTimeout(() => this.send({ type: 'flush' }), APPEND_INTERVAL_MS);
    }
  }

  override close(): void {
    clearTimeout(this.#flushTimer);
    [...this.#submissions.keys()].forEach((group) => this.#expire(group));
    super.close();
  }

  #submit(bodies: RecordBody[], timeoutMs: number, reply: (answer: LogSubmitResult) => void): void {
    const group = buildGroup(bodies);
    const refusal = this.#queue.put(group);
    if (refusal !== undefined) {
      reply({ outcome: 'not-applied', reason: refusal });
      return;
    }
    const timer = setTimeout(() => this.send({ type: 'expire', group }), timeoutMs);
    this.#submissions.set(group, { reply, timer, ids: [] });
  }

  #expire(group: AppendGroup<RecordBody>): void {
    const submission = this.#submissions.get(group);
    if (submission === undefined) return;
    clearTimeout(submission.timer);
    this.#submissions.delete(group);
    const isOutcomeUnknown = this.#queue.withdraw(group) === 'unknown';
    const reason = `the log did not answer in time${this.#lastError && `: ${this.#lastError}`}`;
    submission.reply({ outcome: isOutcomeUnknown ? 'unknown' : 'not-applied', reason });
  }

  #settleSubmissions(settled: SentItem<RecordBody>[]): void {
    settled.forEach(({ sequence, group }) => {
      const submission = this.#submissions.get(group);
      if (submission === undefined) return;
      submission.ids.push({ writer: this.#writerId, sequence });
      if (submission.ids.length < group.items.length) return;
      clearTimeout(submission.timer);
      this.#submissions.delete(group);
      submission.reply({ outcome: 'appended', ids: submission.ids });
    });
  }

  #flush(): void {
    if (this.#isRequestPending) return;
    if (!this.#queue.isInDoubt) {
      this.#append();
      return;
    }
    this.#isRequestPending = true;
    this.#client.read(FLEET_STREAM, this.#appliedOffset, { max: 1, waitMs: 0 }).then(
      ({ head }) => this.send({ type: 'head', head }),
      (error: Error) => this.send({ type: 'failed', reason: error.message }),
    );
  }

  #append(): void {
    this.#resumeOffset = undefined;
    if (this.#isRequestPending) return;
    const batch = this.#queue.takeBatch();
    if (batch.length === 0) return;
    this.#isRequestPending = true;
    clearTimeout(this.#flushTimer);
    this.#flushTimer = undefined;
    batch.forEach(({ sequence, item }) => {
      this.scope.recordEvent(describeProposal(item.value, `${this.#writerId}/${sequence}`));
    });
    const values = batch.map(({ sequence, item }) =>
      encodeRecord({ writer: this.#writerId, sequence, body: item.value }),
    );
    this.#client.append(FLEET_STREAM, values).then(
      () => this.send({ type: 'appended' }),
      (error: Error) => this.send({ type: 'failed', reason: error.message }),
    );
  }

  #scheduleFlush(delayMs: number): void {
    clearTimeout(this.#flushTimer);
    this.#flushTimer = setTimeout(() => this.send({ type: 'flush' }), delayMs);
  }
}
