import { randomUUID } from 'node:crypto';
import { Actor, type ActorScope } from '../actor/mod.js';
import { encodeRecord, type RecordBody } from '../record/mod.js';
import { describeProposal } from '../timeline/mod.js';
import { AppendQueue, type AppendGroup, type SentItem } from './AppendQueue.js';
import { Backoff } from './Backoff.js';
import type { LogClient } from './LogClient.js';
import { FLEET_STREAM } from './LogRecordSource.js';

/** 20 appends a second leave room for the other controllers within the platform's limit. */
const APPEND_INTERVAL_MS = 50;
/** Room for the writer and the sequence around a body. */
const ENVELOPE_BYTES = 100;

/** Identifies an appended record in the fold. */
export interface RecordId {
  writer: string;
  sequence: number;
}

/** What became of submitted records. */
export type SubmitAnswer =
  | { outcome: 'appended'; ids: RecordId[] }
  /** None of the records takes effect. */
  | { outcome: 'not-applied'; reason: string }
  /** The records may have been appended, or may still be. */
  | { outcome: 'unknown'; reason: string };

/** Asks for one record to be appended, without an answer. */
export interface AppendMessage {
  type: 'append';
  body: RecordBody;
}

/** Messages of the writer. */
export type WriterMessage =
  | AppendMessage
  /** Replaces what the proposer has queued; decisions that are out of date are never appended. */
  | { type: 'propose'; proposer: string; bodies: RecordBody[] }
  /** Appends all records in order; answered within `timeoutMs`. */
  | {
      type: 'submit';
      bodies: RecordBody[];
      timeoutMs: number;
      reply: (answer: SubmitAnswer) => void;
    }
  /** The fold has seen this writer's records up to `sequence`, and the log up to `nextOffset`. */
  | { type: 'folded'; sequence: number; nextOffset: number }
  | { type: 'expire'; group: AppendGroup<RecordBody> }
  | { type: 'flush' }
  | { type: 'appended' }
  | { type: 'failed'; reason: string }
  | { type: 'head'; head: number };

interface Submission {
  reply: (answer: SubmitAnswer) => void;
  timer: NodeJS.Timeout;
  ids: RecordId[];
}

function buildGroup(bodies: RecordBody[], proposer?: string): AppendGroup<RecordBody> {
  const items = bodies.map((value) => {
    // Values are strings inside the JSON of the append, so their quotes are escaped once more.
    const bytes = Buffer.byteLength(JSON.stringify(JSON.stringify(value))) + ENVELOPE_BYTES;
    return { value, bytes };
  });
  return { items, proposer };
}

/** Options of a writer. */
export interface LogWriterOptions {
  client: LogClient;
  random?: () => number;
}

/**
 * Appends records in batches, one append at a time.
 *
 * When an answer is lost, it reads the head of the log, waits until the fold has passed it, and
 * appends again only what the fold has not seen. An append that takes effect later than that is
 * ignored by the fold, since its sequences are known.
 */
export class LogWriter extends Actor<WriterMessage> {
  readonly #client: LogClient;

  readonly #writer = randomUUID();

  readonly #queue = new AppendQueue<RecordBody>();

  readonly #backoff: Backoff;

  readonly #submissions = new Map<AppendGroup<RecordBody>, Submission>();

  #timer: NodeJS.Timeout | undefined;

  #isBusy = false;

  #foldedOffset = 0;

  /** Head of the log after an append in doubt; the fold must reach it before the next append. */
  #doubtHead: number | undefined;

  #lastFault = '';

  constructor(scope: ActorScope, options: LogWriterOptions) {
    super(scope, 'log-writer');
    this.#client = options.client;
    this.#backoff = new Backoff(options.random ?? Math.random);
  }

  /** Id of this writer in the records that it appends. */
  get writer(): string {
    return this.#writer;
  }

  protected override receive(message: WriterMessage): void {
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
        this.#foldedOffset = Math.max(this.#foldedOffset, message.nextOffset);
        this.#finishSent(this.#queue.fold(message.sequence));
        if (this.#doubtHead !== undefined && this.#foldedOffset >= this.#doubtHead) this.#append();
        break;
      case 'flush':
        this.#timer = undefined;
        this.#flush();
        break;
      case 'appended':
        this.#isBusy = false;
        this.#backoff.reset();
        this.#finishSent(this.#queue.confirm());
        break;
      case 'failed':
        this.#isBusy = false;
        this.#lastFault = message.reason;
        this.#queue.fail();
        this.#schedule(this.#backoff.fail());
        break;
      default:
        this.#isBusy = false;
        this.#doubtHead = message.head;
        if (this.#foldedOffset >= message.head) this.#append();
        else this.#schedule(this.#backoff.fail());
    }
    if (this.#queue.hasWaiting && !this.#isBusy && !this.#queue.isInDoubt) {
      this.#timer ??= setTimeout(() => this.send({ type: 'flush' }), APPEND_INTERVAL_MS);
    }
  }

  override close(): void {
    clearTimeout(this.#timer);
    [...this.#submissions.keys()].forEach((group) => this.#expire(group));
    super.close();
  }

  #submit(bodies: RecordBody[], timeoutMs: number, reply: (answer: SubmitAnswer) => void): void {
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
    const isUnknown = this.#queue.withdraw(group) === 'unknown';
    const reason = `the log did not answer in time${this.#lastFault && `: ${this.#lastFault}`}`;
    submission.reply({ outcome: isUnknown ? 'unknown' : 'not-applied', reason });
  }

  #finishSent(settled: SentItem<RecordBody>[]): void {
    settled.forEach(({ sequence, group }) => {
      const submission = this.#submissions.get(group);
      if (submission === undefined) return;
      submission.ids.push({ writer: this.#writer, sequence });
      if (submission.ids.length < group.items.length) return;
      clearTimeout(submission.timer);
      this.#submissions.delete(group);
      submission.reply({ outcome: 'appended', ids: submission.ids });
    });
  }

  #flush(): void {
    if (this.#isBusy) return;
    if (!this.#queue.isInDoubt) {
      this.#append();
      return;
    }
    this.#isBusy = true;
    this.#client.read(FLEET_STREAM, this.#foldedOffset, { max: 1, waitMs: 0 }).then(
      ({ head }) => this.send({ type: 'head', head }),
      (error: Error) => this.send({ type: 'failed', reason: error.message }),
    );
  }

  #append(): void {
    this.#doubtHead = undefined;
    if (this.#isBusy) return;
    const batch = this.#queue.take();
    if (batch.length === 0) return;
    this.#isBusy = true;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    batch.forEach(({ sequence, item }) => {
      this.scope.recordEvent(describeProposal(item.value, `${this.#writer}/${sequence}`));
    });
    const values = batch.map(({ sequence, item }) =>
      encodeRecord({ writer: this.#writer, sequence, body: item.value }),
    );
    this.#client.append(FLEET_STREAM, values).then(
      () => this.send({ type: 'appended' }),
      (error: Error) => this.send({ type: 'failed', reason: error.message }),
    );
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.send({ type: 'flush' }), delayMs);
  }
}
