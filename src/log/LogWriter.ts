import { randomUUID } from 'node:crypto';
import { Actor, type ActorScope } from '../actor/mod.js';
import { encodeRecord, type RecordBody } from '../record/mod.js';
import { describeProposal } from '../timeline/mod.js';
import type { LogClient } from './LogClient.js';
import { FLEET_STREAM } from './LogRecordSource.js';

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
/** 20 appends a second leave room for the other controllers within the platform's limit. */
const APPEND_INTERVAL_MS = 50;

/** Identifies an appended record in the fold. */
export interface RecordId {
  writer: string;
  sequence: number;
}

/** Asks for a record to be appended; `reply` is called once the platform has confirmed it. */
export interface AppendMessage {
  type: 'append';
  body: RecordBody;
  reply?: (id: RecordId) => void;
}

type WriterMessage = AppendMessage | { type: 'flush' };

interface Waiting extends AppendMessage {
  sequence: number;
}

/** Appends records in batches, one append at a time, and repeats an append whose answer was lost. */
export class LogWriter extends Actor<WriterMessage> {
  readonly #client: LogClient;

  readonly #writer = randomUUID();

  #sequence = 0;

  #waiting: Waiting[] = [];

  #timer: NodeJS.Timeout | undefined;

  #backoffMs = 0;

  constructor(scope: ActorScope, client: LogClient) {
    super(scope, 'log-writer');
    this.#client = client;
  }

  protected override async receive(message: WriterMessage): Promise<void> {
    if (message.type === 'append') {
      this.#sequence += 1;
      this.#waiting.push({ ...message, sequence: this.#sequence });
      const id = `${this.#writer}/${this.#sequence}`;
      this.scope.recordEvent(describeProposal(message.body, id));
      this.#schedule(APPEND_INTERVAL_MS);
      return;
    }
    this.#timer = undefined;
    await this.#flush();
  }

  override close(): void {
    clearTimeout(this.#timer);
    super.close();
  }

  async #flush(): Promise<void> {
    const batch = this.#waiting;
    if (batch.length === 0) return;
    try {
      const values = batch.map(({ sequence, body }) =>
        encodeRecord({ writer: this.#writer, sequence, body }),
      );
      await this.#client.append(FLEET_STREAM, values);
    } catch {
      // The answer may be lost while the append took effect; the fold ignores the repeated records.
      this.#backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(FIRST_BACKOFF_MS, this.#backoffMs * 2));
      this.#schedule(this.#backoffMs);
      return;
    }
    this.#backoffMs = 0;
    this.#waiting = this.#waiting.slice(batch.length);
    batch.forEach(({ reply, sequence }) => reply?.({ writer: this.#writer, sequence }));
    if (this.#waiting.length > 0) this.#schedule(APPEND_INTERVAL_MS);
  }

  #schedule(delayMs: number): void {
    this.#timer ??= setTimeout(() => this.send({ type: 'flush' }), delayMs);
  }
}
