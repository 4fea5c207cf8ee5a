import { Actor } from '../actor/mod.js';
import { StoreRefusedError, type KeyedValue } from '../port/mod.js';
import { AppendLatency } from './AppendLatency.js';
import type { NodeContext } from './NodeContext.js';
import { StoreHealth } from './StoreHealth.js';
import { WriteLimit } from './WriteLimit.js';
import { UncertainRecords } from './_UncertainRecords.js';
import {
  isRelated,
  isUnanswered,
  WriteQueue,
  type BatchLimit,
  type PendingWrite,
} from './_WriteQueue.js';

/** Maximum number of records in one append. */
const MAX_BATCH_RECORDS = 200;
/** No records are added to an append that has reached this size; well below the store's limit. */
const MAX_BATCH_BYTES = 512 * 1_024;
/** A record is reported as not stored after this many refused appends. */
const MAX_REFUSALS = 3;
/** After a failed append the writer reports for this time in ms that it cannot write. */
const UNAVAILABLE_AFTER_FAILURE_MS = 500;
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
  /** Asks the same for any record whose key begins with a prefix. */
  | { type: 'has-open'; prefix: string; reply: (hasOpen: boolean) => void }
  /** Reports that another node may still store a record with the key. */
  | { type: 'mark-uncertain'; key: string }
  /** Reports whether the last read of the work log was answered. */
  | { type: 'read'; isAnswered: boolean }
  | ({ type: 'answered' } & AppendResult)
  | { type: 'send' }
  /** The deadline of a queued record has passed. */
  | { type: 'expire' };

/** Result of an append; the store did not receive an `unsent` one. */
interface AppendResult {
  outcome: 'stored' | 'refused' | 'rejected' | 'unsent' | 'unanswered';
  reason: string;
  /** Time in ms that the append took, and its time limit. */
  waitedMs: number;
  timeoutMs: number;
}

/**
 * Appends the records of callers to the work log in batches, one append at a time.
 *
 * A record of an unanswered append is appended again, which is idempotent since records are keyed;
 * it is never reported as not stored. Such a record is sent again before any that has not been sent
 * yet. While the store does not answer, records that were never sent are rejected immediately (see
 * `StoreHealth`), and so are those that cannot be stored in time (see `WriteLimit`).
 */
export class WorkLogWriter extends Actor<WorkLogWriterMessage> {
  readonly #context: NodeContext;

  readonly #onLatency: (latencyMs: number) => void;

  readonly #latency = new AppendLatency();

  readonly #health = new StoreHealth();

  readonly #limit = new WriteLimit({
    batchRecords: MAX_BATCH_RECORDS,
    batchBytes: MAX_BATCH_BYTES,
  });

  readonly #queue = new WriteQueue();

  #inFlight: PendingWrite[] = [];

  /** Monotonic time in ms at which the append in flight was sent. */
  #sentAt = 0;

  readonly #uncertain = new UncertainRecords();

  /** Monotonic time in ms at which the breaker opened, and the writes refused since then. */
  #openedAt = 0;

  #refusedCount = 0;

  #failedAt = -Infinity;

  #timer: NodeJS.Timeout | undefined;

  /** Monotonic time in ms of the earliest deadline for which the timer is set. */
  #expiresAt = Infinity;

  #expiryTimer: NodeJS.Timeout | undefined;

  /** @param onLatency Called after each append with the expected latency in ms of the next one. */
  constructor(context: NodeContext, onLatency: (latencyMs: number) => void = () => undefined) {
    super(context.scope, 'work-writer');
    this.#context = context;
    this.#onLatency = onLatency;
  }

  protected override receive(message: WorkLogWriterMessage): void {
    switch (message.type) {
      case 'write':
        this.#addWrite(message);
        break;
      case 'is-open':
        message.reply(this.#isOpen(message.key));
        break;
      case 'has-open':
        message.reply(this.#hasOpen(message.prefix));
        break;
      case 'mark-uncertain':
        this.#uncertain.add(message.key);
        this.#expireUncertain(this.#context.clock.readMonotonic());
        break;
      case 'send':
        this.#flush();
        break;
      case 'expire':
        this.#refuseExpired();
        break;
      case 'can-write':
        message.reply(this.#canWrite());
        break;
      case 'read':
        this.#changeHealth((now) =>
          this.#health.recordRead(message.isAnswered, now, this.#latency.expectedMs),
        );
        this.#flush();
        break;
      default:
        this.#handleAppendResult(message);
    }
  }

  override close(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#expiryTimer);
    super.close();
  }

  /** Queues a write; one that cannot be stored at present ends at once. */
  #addWrite({
    record,
    reply,
    deadline,
    isAllowed,
  }: WorkLogWriterMessage & { type: 'write' }): void {
    // An earlier append of the record may still be executed, so this write cannot end as not stored.
    const isUncertain = this.#isUncertain(record.key);
    const bytes = Buffer.byteLength(record.value ?? '');
    const write: PendingWrite = { record, bytes, reply, deadline, isAllowed, failures: [] };
    if (isUncertain) write.failures.push('unanswered');
    const cause = this.#findRefusal(write);
    if (cause !== undefined) {
      this.#refuse(write, cause);
      return;
    }
    this.#queue.add(write);
    this.#flush();
    if (this.#inFlight.length > 0 && !this.#inFlight.includes(write))
      this.#scheduleExpiry(deadline);
  }

  /** Finds the cause for which a write is refused at once; undefined if it is queued. */
  #findRefusal(write: PendingWrite): 'outage' | 'slow' | undefined {
    const now = this.#context.clock.readMonotonic();
    const isIdle = this.#inFlight.length === 0 && this.#queue.length === 0;
    // With nothing pending, a record that may already have been sent can serve as the probe.
    const canProbe = isIdle && (isUnanswered(write) || this.#health.canSend(now));
    // The cancellation of a job whose append is repeated is sent together with it.
    const isAllowed = canProbe || (!isUnanswered(write) && this.#isRelatedToRepeated(write));
    if (this.#health.state !== 'closed' && !isAllowed) return 'outage';
    const backlog = {
      records: this.#queue.length,
      bytes: this.#queue.bytes,
      inFlightMs: this.#inFlight.length === 0 ? undefined : now - this.#sentAt,
    };
    const latencyMs = this.#latency.expectedMs;
    const remainingMs = write.deadline - now;
    return this.#limit.canAdmit(backlog, { latencyMs, remainingMs }) ? undefined : 'slow';
  }

  #isRelatedToRepeated(write: PendingWrite): boolean {
    const writes = [...this.#inFlight, ...this.#queue.writes];
    return writes.some((other) => isUnanswered(other) && isRelated(other, write));
  }

  #refuse(write: PendingWrite, cause: 'outage' | 'slow'): void {
    if (cause === 'outage') this.#refusedCount += 1;
    this.#context.log.record(`write-refused-${cause}`, write.record.key, {
      queued: this.#queue.length,
      latencyMs: Math.round(this.#latency.expectedMs),
    });
    this.#endUnstored(write);
  }

  /**
   * Ends a write that is neither queued nor in flight any more. Its record counts as not stored only
   * if no earlier append and no other write of this node may store it.
   */
  #endUnstored(write: PendingWrite): void {
    const mayBeStored = isUnanswered(write) || this.#isOpen(write.record.key);
    write.reply(mayBeStored ? 'unknown' : 'not-stored');
  }

  #isOpen(key: string): boolean {
    const writes = [...this.#inFlight, ...this.#queue.writes];
    return writes.some(({ record }) => record.key === key) || this.#isUncertain(key);
  }

  #hasOpen(prefix: string): boolean {
    const writes = [...this.#inFlight, ...this.#queue.writes];
    if (writes.some(({ record }) => record.key.startsWith(prefix))) return true;
    return this.#uncertain.hasAny(prefix, this.#context.clock.readMonotonic());
  }

  /** Checks whether an unanswered append of a key may still be executed. */
  #isUncertain(key: string): boolean {
    return this.#uncertain.has(key, this.#context.clock.readMonotonic());
  }

  #flush(): void {
    if (this.#inFlight.length > 0) return;
    this.#rejectDisallowed();
    this.#refuseLate();
    if (this.#queue.length === 0) return;
    const now = this.#context.clock.readMonotonic();
    if (now < this.#health.retryAt) {
      clearTimeout(this.#timer);
      this.#timer = setTimeout(() => this.send({ type: 'send' }), this.#health.retryAt - now);
      return;
    }
    this.#inFlight = this.#queue.takeBatch(this.#batchLimit);
    this.#sentAt = now;
    this.#refuseExpired();
    this.#health.recordSent(now + this.#latency.timeoutMs);
    this.#append(this.#inFlight.map(({ record }) => record)).then((result) =>
      this.send({ type: 'answered', ...result }),
    );
  }

  /** Size limits of the next append; a probe with a new record contains no other one. */
  get #batchLimit(): BatchLimit {
    const isProbe = this.#health.state !== 'closed' && !this.#queue.writes.some(isUnanswered);
    return { records: isProbe ? 1 : MAX_BATCH_RECORDS, bytes: MAX_BATCH_BYTES };
  }

  /** Ends the queued writes that may no longer be appended, such as those of a revoked key. */
  #rejectDisallowed(): void {
    const rejected = this.#queue.takeIf(({ isAllowed }) => isAllowed?.() === false);
    if (rejected.length === 0) return;
    rejected.forEach((write) => this.#endUnstored(write));
    this.#expireUncertain(this.#context.clock.readMonotonic());
  }

  /** Refuses the queued writes that were never sent and cannot be stored before their deadline. */
  #refuseLate(): void {
    const now = this.#context.clock.readMonotonic();
    const latencyMs = this.#latency.expectedMs;
    const batch = this.#queue.collectBatch(this.#batchLimit);
    const late = this.#queue.takeIf((write) => {
      const remainingMs = write.deadline - now;
      // The next append may be faster, so its records are sent unless their deadline has passed.
      if (write.failures.length > 0 || (batch.has(write) && remainingMs > 0)) return false;
      return !WriteLimit.canStore(remainingMs, latencyMs);
    });
    late.forEach((write) => this.#refuse(write, 'slow'));
  }

  /** Refuses the records that were never sent once their deadline passes while an append is in flight. */
  #refuseExpired(): void {
    this.#expiresAt = Infinity;
    if (this.#inFlight.length === 0) return;
    const now = this.#context.clock.readMonotonic();
    const isUnsent = ({ failures }: PendingWrite): boolean => failures.length === 0;
    const expired = this.#queue.takeIf((write) => isUnsent(write) && write.deadline <= now);
    expired.forEach((write) => this.#refuse(write, 'slow'));
    this.#queue.writes.filter(isUnsent).forEach(({ deadline }) => this.#scheduleExpiry(deadline));
  }

  /** Sets the timer for a deadline, unless it is set for an earlier one. */
  #scheduleExpiry(deadline: number): void {
    if (deadline >= this.#expiresAt) return;
    this.#expiresAt = deadline;
    clearTimeout(this.#expiryTimer);
    const delayMs = Math.max(0, deadline - this.#context.clock.readMonotonic());
    this.#expiryTimer = setTimeout(() => this.send({ type: 'expire' }), delayMs);
  }

  async #append(records: KeyedValue[]): Promise<AppendResult> {
    const { timeoutMs } = this.#latency;
    const result = await this.#tryAppend(records, timeoutMs);
    const waitedMs = this.#context.clock.readMonotonic() - this.#sentAt;
    return { ...result, waitedMs, timeoutMs };
  }

  async #tryAppend(
    records: KeyedValue[],
    timeoutMs: number,
  ): Promise<Pick<AppendResult, 'outcome' | 'reason'>> {
    try {
      const answer = await this.#context.store.append(records, { timeoutMs });
      if (answer.type === 'appended') return { outcome: 'stored', reason: '' };
      const reason = 'reason' in answer ? answer.reason : answer.type;
      return { outcome: answer.type === 'rejected' ? 'rejected' : 'refused', reason };
    } catch (error) {
      const outcome = error instanceof StoreRefusedError ? 'unsent' : 'unanswered';
      return { outcome, reason: String(error) };
    }
  }

  #handleAppendResult(result: AppendResult): void {
    const { outcome, reason, waitedMs } = result;
    const writes = this.#inFlight;
    this.#inFlight = [];
    if (outcome === 'stored') {
      this.#failedAt = -Infinity;
      writes.forEach(({ record, reply }) => {
        this.#uncertain.remove(record.key);
        reply('stored');
      });
      this.#recordHealth(result);
      this.#flush();
      return;
    }
    this.#context.log.record('append-failed', 'work', {
      outcome,
      reason,
      records: writes.length,
      waitedMs: Math.round(waitedMs),
    });
    if (outcome === 'rejected') {
      this.#handleRejection(writes);
      this.#recordHealth(result);
      this.#flush();
      return;
    }
    const now = this.#context.clock.readMonotonic();
    this.#failedAt = now;
    if (outcome === 'unanswered') this.#markUncertain(writes);
    const failure = outcome === 'unanswered' ? 'unanswered' : 'refused';
    const ended = writes.filter((write) => WorkLogWriter.#recordFailure(write, failure, now));
    // Records that are still pending are retried before those that have not been sent yet.
    this.#queue.addFirst(writes.filter((write) => !ended.includes(write)));
    this.#expireUncertain(now);
    ended.forEach((write) => this.#endUnstored(write));
    this.#recordHealth(result);
    this.#flush();
  }

  /** Ends the write that the store never accepts; of several ones, each is sent again alone. */
  #handleRejection(writes: readonly PendingWrite[]): void {
    if (writes.length === 1) {
      writes.forEach((write) => this.#endUnstored(write));
      return;
    }
    this.#queue.addFirst(writes.map((write) => Object.assign(write, { isAlone: true })));
  }

  #recordHealth({ outcome, waitedMs, timeoutMs }: AppendResult): void {
    // A refusal is faster than an append, so it does not show the latency of appends.
    if (outcome === 'stored') this.#latency.recordAnswer(waitedMs);
    if (outcome === 'unanswered' && StoreHealth.isTimeout({ waitedMs, timeoutMs }))
      this.#latency.recordTimeout();
    this.#changeHealth((now) => {
      if (outcome === 'stored' || outcome === 'rejected') this.#health.recordAnswer(now);
      else if (outcome === 'refused') this.#health.recordRefusal(now);
      else if (outcome === 'unsent') this.#health.recordUnsent(now);
      else this.#health.recordFailure({ waitedMs, timeoutMs }, now);
    });
    this.#onLatency(this.#latency.expectedMs);
  }

  /** Changes the state of the breaker, and refuses the records that were never sent if it opens. */
  #changeHealth(change: (now: number) => void): void {
    const now = this.#context.clock.readMonotonic();
    const wasClosed = this.#health.state === 'closed';
    change(now);
    const isClosed = this.#health.state === 'closed';
    if (wasClosed === isClosed) return;
    if (isClosed) {
      const openMs = Math.round(now - this.#openedAt);
      this.#context.log.record('breaker-closed', 'work', { openMs, refused: this.#refusedCount });
      return;
    }
    this.#openedAt = now;
    this.#refusedCount = 0;
    this.#context.log.record('breaker-opened', 'work', { queued: this.#queue.length });
    this.#queue.takeUnsent().forEach((write) => this.#refuse(write, 'outage'));
  }

  /** Marks the records of an unanswered append, also for queued writes of the same records. */
  #markUncertain(writes: readonly PendingWrite[]): void {
    const keys = new Set(writes.map(({ record }) => record.key));
    keys.forEach((key) => this.#uncertain.add(key));
    this.#queue.writes
      .filter(({ record }) => keys.has(record.key))
      .forEach(({ failures }) => failures.push('unanswered'));
  }

  /** Sets the time until which the records of writes that have ended may be executed. */
  #expireUncertain(now: number): void {
    const pending = new Set(this.#queue.writes.map(({ record }) => record.key));
    this.#uncertain.expire(now, (key) => pending.has(key));
  }

  #canWrite(): boolean {
    return (
      this.#health.state === 'closed' &&
      this.#context.clock.readMonotonic() - this.#failedAt > UNAVAILABLE_AFTER_FAILURE_MS
    );
  }

  /** Records a failed append; returns true if the write ends with it. */
  static #recordFailure(
    write: PendingWrite,
    outcome: 'refused' | 'unanswered',
    now: number,
  ): boolean {
    const { failures } = write;
    failures.push(outcome);
    if (now >= write.deadline) return true;
    return !isUnanswered(write) && failures.length >= MAX_REFUSALS;
  }
}
