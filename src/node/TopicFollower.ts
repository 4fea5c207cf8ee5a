import { Actor } from '../actor/mod.js';
import type { TimeReading } from '../clock/mod.js';
import {
  StoreRefusedError,
  type NewestPage,
  type ReadResponse,
  type StoreRecord,
  type StoreTopic,
} from '../port/mod.js';
import type { NodeContext } from './NodeContext.js';
import { RetryBackoff } from './RetryBackoff.js';

/** Long polling: default of the maximum time in ms that a read waits at the store for a record. */
const LONG_POLL_MS = 1_000;
/** Maximum delay in ms after a failed read; short, so that the end of an outage is found soon. */
const MAX_RETRY_DELAY_MS = 300;

/** Messages of every topic follower. */
export type FollowerMessage =
  | { type: 'read' }
  | { type: 'page'; page: NewestPage; sentAt: TimeReading }
  | { type: 'answered'; answer: ReadResponse; sentAt: TimeReading }
  | { type: 'failed'; error: Error };

/** Newest records that have been read so far, page by page. */
interface PartialSnapshot {
  records: StoreRecord[];
  /** End of the log when the first page was read; the log is followed from there. */
  end: number;
  /** When the first page was requested: a record on it may have been replaced since. */
  sentAt: TimeReading;
  /** Key after which the next page starts. */
  next: string | undefined;
}

/** Position and freshness of a follower. */
export interface FollowerState {
  /** Offset after the last record that was read. */
  end: number;
  /** The follower has reached the end of the log, and is not reading the newest records again. */
  isCurrent: boolean;
  /**
   * Monotonic time in ms at which the state was known to be current. Only reads that reach the end
   * of the log update it.
   */
  freshAt: number;
  /**
   * When the last read that reached the end of the log was sent; undefined before the first one. The
   * state contains everything that the store had acknowledged by then. An empty long poll counts
   * from its sending, too, since its response may have been delayed on the way.
   */
  provenAt?: TimeReading | undefined;
  /** The last read succeeded. */
  isInContact: boolean;
  /** The last read was reset or timed out; a refused one was answered or not sent. */
  isSilent?: boolean;
  /** Latency in ms of recent reads, as far as it is known from empty ones. */
  latencyMs?: number;
  /** Monotonic time in ms since which all reads have succeeded. */
  contactSince: number;
}

/**
 * Follows one topic of the store: reads the newest record of each key and then the log after them.
 * Starts over if the store has deleted records that were not read yet.
 */
export abstract class TopicFollower<Message> extends Actor<FollowerMessage | Message> {
  readonly #topic: StoreTopic;

  readonly #context: NodeContext;

  #nextOffset: number | undefined;

  #snapshot: PartialSnapshot | undefined;

  #isCurrent = false;

  #freshAt = -Infinity;

  #provenAt: TimeReading | undefined;

  #contactSince = -Infinity;

  #isInContact = false;

  #isSilent = false;

  #latencyMs = 0;

  readonly #backoff = new RetryBackoff({ maxMs: MAX_RETRY_DELAY_MS });

  #timer: NodeJS.Timeout | undefined;

  #isReading = false;

  /** Delay in ms after a read that returned records, so that the next read returns a batch. */
  protected readDelayMs: number;

  /** Maximum time in ms that a read waits at the store for a record. */
  protected longPollMs = LONG_POLL_MS;

  constructor(context: NodeContext, topic: StoreTopic, readDelayMs: number) {
    super(context.scope, `follow-${topic}`);
    this.#topic = topic;
    this.#context = context;
    this.readDelayMs = readDelayMs;
    this.send({ type: 'read' });
  }

  protected get context(): NodeContext {
    return this.#context;
  }

  protected get state(): FollowerState {
    return {
      end: this.#nextOffset ?? 0,
      isCurrent: this.#isCurrent && this.#nextOffset !== undefined,
      freshAt: this.#freshAt,
      provenAt: this.#provenAt,
      isInContact: this.#isInContact,
      isSilent: this.#isSilent,
      latencyMs: this.#latencyMs,
      contactSince: this.#contactSince,
    };
  }

  /** Applies records. `isSnapshot` indicates that they are the newest records of all keys. */
  protected abstract applyRecords(records: readonly StoreRecord[], isSnapshot: boolean): void;

  /**
   * Applies records one by one. A record that cannot be applied costs one log line and does not
   * affect the others.
   */
  protected applyEach(records: readonly StoreRecord[], apply: (record: StoreRecord) => void): void {
    records.forEach((record) => {
      try {
        apply(record);
      } catch (error) {
        this.#context.log.record('record-skipped', record.key, { reason: String(error) });
      }
    });
  }

  /** Handles the messages of the subclass. */
  protected abstract handle(message: Message): void | Promise<void>;

  protected override receive(message: FollowerMessage | Message): void | Promise<void> {
    const followerMessage = message as FollowerMessage;
    switch (followerMessage.type) {
      case 'read':
        this.#read();
        return undefined;
      case 'page':
        this.#isReading = false;
        this.#handlePage(followerMessage.page, followerMessage.sentAt);
        return undefined;
      case 'answered':
        this.#isReading = false;
        this.#handleResponse(followerMessage.answer, followerMessage.sentAt);
        return undefined;
      case 'failed':
        this.#isReading = false;
        this.#handleFailure(followerMessage.error);
        return undefined;
      default:
        return this.handle(message as Message);
    }
  }

  /** Reads immediately instead of after the delay. */
  protected readNow(): void {
    if (!this.#isReading) this.#schedule(0);
  }

  override close(): void {
    clearTimeout(this.#timer);
    super.close();
  }

  #read(): void {
    if (this.#isReading || this.isClosed) return;
    this.#isReading = true;
    const pending =
      this.#nextOffset === undefined ? this.#readPage() : this.#readFrom(this.#nextOffset);
    pending.then(
      (message) => this.send(message),
      (error: unknown) => {
        const failure = error instanceof Error ? error : new Error(String(error));
        this.send({ type: 'failed', error: failure });
      },
    );
  }

  async #readPage(): Promise<FollowerMessage> {
    const sentAt = this.#context.clock.read();
    const page = await this.#context.store.readNewest(this.#topic, this.#snapshot?.next);
    return { type: 'page', page, sentAt };
  }

  /**
   * Adds a page to the snapshot. After a failed read the snapshot goes on with the page that is
   * missing: when many nodes start at once, some reads fail, and reading again from the first page
   * would never come to an end.
   */
  #handlePage({ records, next, end }: NewestPage, sentAt: TimeReading): void {
    this.#recordContact();
    this.#snapshot ??= { records: [], end, sentAt, next };
    this.#snapshot.records.push(...records);
    this.#snapshot.next = next;
    if (next !== undefined) {
      this.#notifyThenSchedule(0);
      return;
    }
    const snapshot = this.#snapshot;
    this.#snapshot = undefined;
    this.#nextOffset = snapshot.end;
    this.#freshAt = snapshot.sentAt.monotonicMs;
    this.#provenAt = snapshot.sentAt;
    this.#applyThenSchedule(snapshot.records, { isSnapshot: true, delayMs: 0 });
  }

  async #readFrom(from: number): Promise<FollowerMessage> {
    const sentAt = this.#context.clock.read();
    const answer = await this.#context.store.read(this.#topic, from, { waitMs: this.longPollMs });
    return { type: 'answered', answer, sentAt };
  }

  #handleResponse(answer: ReadResponse, sentAt: TimeReading): void {
    this.#recordContact();
    if (answer.type === 'expired') {
      this.#context.log.record('log-expired', this.#topic, {
        next: this.#nextOffset,
        first: answer.first,
      });
      this.#nextOffset = undefined;
      this.#notifyThenSchedule(0);
      return;
    }
    const last = answer.records.at(-1);
    const tookMs = this.#context.clock.readMonotonic() - sentAt.monotonicMs;
    // A read with records may have waited for them, so it shows only that the latency is not higher.
    this.#latencyMs =
      last === undefined
        ? Math.max(0, tookMs - this.longPollMs)
        : Math.min(this.#latencyMs, tookMs);
    this.#nextOffset = last === undefined ? this.#nextOffset : last.offset + 1;
    const isEmpty = last === undefined;
    const isBehind = !isEmpty && (this.#nextOffset ?? 0) < answer.end;
    if (!isBehind) {
      this.#isCurrent = true;
      // An empty long poll proves that no record was appended until the end of its wait.
      const sentAtMs = sentAt.monotonicMs;
      const waitedUntil = Math.min(this.#context.clock.readMonotonic(), sentAtMs + this.longPollMs);
      this.#freshAt = isEmpty ? waitedUntil : sentAtMs;
      this.#provenAt = sentAt;
    }
    const delayMs = isBehind || isEmpty ? 0 : this.readDelayMs;
    this.#applyThenSchedule(answer.records, { isSnapshot: false, delayMs });
  }

  #handleFailure(error: Error): void {
    if (this.#isInContact) {
      this.#context.log.record('store-lost', this.#topic, { error: error.message });
    }
    this.#isInContact = false;
    this.#isSilent = !(error instanceof StoreRefusedError);
    this.#notifyThenSchedule(this.#backoff.computeDelay());
  }

  /** Lets the subclass see the state without new records, and schedules the next read. */
  #notifyThenSchedule(delayMs: number): void {
    this.#applyThenSchedule([], { isSnapshot: false, delayMs });
  }

  /** Applies records and schedules the next read, also if applying them throws. */
  #applyThenSchedule(
    records: readonly StoreRecord[],
    { isSnapshot, delayMs }: { isSnapshot: boolean; delayMs: number },
  ): void {
    try {
      this.applyRecords(records, isSnapshot);
    } finally {
      this.#schedule(delayMs);
    }
  }

  #recordContact(): void {
    if (this.#isInContact) return;
    this.#isInContact = true;
    this.#isSilent = false;
    this.#backoff.reset();
    this.#contactSince = this.#context.clock.readMonotonic();
    this.#context.log.record('store-regained', this.#topic, { next: this.#nextOffset });
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer);
    if (this.isClosed) return;
    if (delayMs === 0) this.send({ type: 'read' });
    else this.#timer = setTimeout(() => this.send({ type: 'read' }), delayMs);
  }
}
