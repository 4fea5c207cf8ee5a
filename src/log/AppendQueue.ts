/** Maximum size of a log entry that the platform accepts. */
const MAX_RECORD_BYTES = 64 * 1024;
/** The platform rejects append requests above 256 KiB; the margin covers the request envelope. */
const MAX_APPEND_BYTES = 256 * 1024 - 1024;
/** Fits two configuration changes of 19,000 hosts each; one encodes to about 5 MB. */
const MAX_QUEUE_BYTES = 16 * 1024 * 1024;

/** A value to append, with its encoded size in bytes. */
export interface AppendItem<T> {
  value: T;
  bytes: number;
}

/** Values that are queued in order, either all or none. */
export interface AppendGroup<T> {
  items: AppendItem<T>[];
  /** The proposer of the group. A newer group of the same proposer replaces its unsent values. */
  proposer?: string;
}

/** A value with the sequence number that was assigned when it was first sent. */
export interface SentItem<T> {
  sequence: number;
  group: AppendGroup<T>;
  item: AppendItem<T>;
}

/**
 * Queues values for a log writer and chooses the next batch to append.
 *
 * A sequence number is assigned when a value is first sent. While the outcome of an append is
 * unknown, no value with a new sequence number is sent until the in-doubt values have been resent
 * or withdrawn. Readers of the log ignore a record whose sequence number is not above the last
 * applied one, so a withdrawn value can no longer take effect once a later value has been applied.
 */
export class AppendQueue<T> {
  #waiting: { group: AppendGroup<T>; item: AppendItem<T> }[] = [];

  #outstanding: SentItem<T>[] = [];

  readonly #withdrawnGroups = new WeakSet<AppendGroup<T>>();

  readonly #sentGroups = new WeakSet<AppendGroup<T>>();

  /** Highest sequence number sent for each proposer. */
  readonly #lastProposed = new Map<string, number>();

  #queuedBytes = 0;

  #lastSequence = 0;

  #appliedSequence = 0;

  #inDoubt = false;

  /** Whether the outcome of the last append is unknown. */
  get isInDoubt(): boolean {
    return this.#inDoubt;
  }

  /** Whether a taken batch has been neither confirmed nor applied. */
  get hasOutstanding(): boolean {
    return this.#outstanding.length > 0;
  }

  /** Whether values that were never sent are queued. */
  get hasWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  /** Queues a group. Returns the reason if it is rejected, otherwise `undefined`. */
  put(group: AppendGroup<T>): string | undefined {
    const largest = Math.max(0, ...group.items.map((item) => item.bytes));
    if (largest > MAX_RECORD_BYTES) {
      return `a record of ${largest} bytes is above the limit of ${MAX_RECORD_BYTES} bytes`;
    }
    const bytes = group.items.reduce((sum, item) => sum + item.bytes, 0);
    if (this.#queuedBytes + bytes > MAX_QUEUE_BYTES) {
      return `the append queue is full: ${this.#queuedBytes} of ${MAX_QUEUE_BYTES} bytes wait for the log`;
    }
    this.#queuedBytes += bytes;
    this.#waiting.push(...group.items.map((item) => ({ group, item })));
    return undefined;
  }

  /**
   * Replaces the queued values of a proposer. Returns false and queues nothing while values that
   * the proposer sent earlier are in flight or not yet applied, since the new proposal was made
   * without taking them into account.
   */
  replace(group: AppendGroup<T> & { proposer: string }): boolean {
    this.#removeWaiting((other) => other.proposer === group.proposer);
    if (this.#inDoubt) {
      this.#outstanding
        .filter((sent) => sent.group.proposer === group.proposer)
        .forEach((sent) => this.#withdrawnGroups.add(sent.group));
    } else if ((this.#lastProposed.get(group.proposer) ?? 0) > this.#appliedSequence) return false;
    return this.put(group) === undefined;
  }

  /** Withdraws a group. Returns `unknown` if part of it was sent and may have been appended. */
  withdraw(group: AppendGroup<T>): 'withdrawn' | 'unknown' {
    this.#removeWaiting((other) => other === group);
    this.#withdrawnGroups.add(group);
    return this.#sentGroups.has(group) ? 'unknown' : 'withdrawn';
  }

  /**
   * Returns the next batch to send: the in-doubt values if there are any, otherwise queued ones.
   */
  takeBatch(): SentItem<T>[] {
    if (this.#inDoubt) {
      this.#outstanding = this.#outstanding.filter(
        (sent) => !this.#withdrawnGroups.has(sent.group),
      );
      this.#inDoubt = false;
    }
    if (this.#outstanding.length === 0) this.#outstanding = this.#takeWaiting();
    return this.#outstanding;
  }

  /** Records that the append of the last batch failed, so that its outcome is unknown. */
  markInDoubt(): void {
    this.#inDoubt = this.#outstanding.length > 0;
  }

  /** Records that the platform confirmed the last batch, and returns the items of the batch. */
  confirmBatch(): SentItem<T>[] {
    const confirmed = this.#outstanding;
    this.#outstanding = [];
    this.#inDoubt = false;
    return confirmed;
  }

  /**
   * Records that this writer's records up to a sequence number have been applied, and returns the
   * outstanding items that this confirms.
   */
  markApplied(sequence: number): SentItem<T>[] {
    this.#appliedSequence = Math.max(this.#appliedSequence, sequence);
    const settled = this.#outstanding.filter((sent) => sent.sequence <= this.#appliedSequence);
    this.#outstanding = this.#outstanding.filter((sent) => sent.sequence > this.#appliedSequence);
    if (this.#outstanding.length === 0) this.#inDoubt = false;
    return settled;
  }

  #takeWaiting(): SentItem<T>[] {
    let bytes = 0;
    let count = 0;
    for (const { item } of this.#waiting) {
      bytes += item.bytes;
      if (bytes > MAX_APPEND_BYTES) break;
      count += 1;
    }
    return this.#waiting.splice(0, count).map(({ group, item }) => {
      this.#queuedBytes -= item.bytes;
      this.#lastSequence += 1;
      this.#sentGroups.add(group);
      if (group.proposer !== undefined) this.#lastProposed.set(group.proposer, this.#lastSequence);
      return { sequence: this.#lastSequence, group, item };
    });
  }

  #removeWaiting(isRemoved: (group: AppendGroup<T>) => boolean): void {
    this.#waiting = this.#waiting.filter(({ group, item }) => {
      if (!isRemoved(group)) return true;
      this.#queuedBytes -= item.bytes;
      return false;
    });
  }
}
