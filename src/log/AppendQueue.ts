/** The platform refuses an entry above 64 KiB. */
const MAX_RECORD_BYTES = 64 * 1024;
/** The platform refuses an append above 256 KiB; the margin covers its envelope. */
const MAX_APPEND_BYTES = 256 * 1024 - 1024;
/** Inventory of 19,000 hosts takes about 5 MB; two such changes fit. */
const MAX_QUEUE_BYTES = 16 * 1024 * 1024;

/** A value to append with its encoded size. */
export interface AppendItem<T> {
  value: T;
  bytes: number;
}

/** Values that are queued together, in order, or not at all. */
export interface AppendGroup<T> {
  items: AppendItem<T>[];
  /** Who proposed the group; a newer group of the same proposer replaces what was not appended. */
  proposer?: string;
}

/** A value with the sequence that it was given when it was first sent. */
export interface SentItem<T> {
  sequence: number;
  group: AppendGroup<T>;
  item: AppendItem<T>;
}

/**
 * Decides what a writer appends next.
 *
 * Sequences are given when a value is first sent. While the outcome of an append is in doubt, no
 * value with a new sequence is sent before the doubtful ones were sent again or withdrawn. The fold
 * ignores a sequence that is not above the last one, so a withdrawn value cannot take effect any
 * more once a later one was folded.
 */
export class AppendQueue<T> {
  #waiting: { group: AppendGroup<T>; item: AppendItem<T> }[] = [];

  #outstanding: SentItem<T>[] = [];

  readonly #withdrawn = new WeakSet<AppendGroup<T>>();

  readonly #sentGroups = new WeakSet<AppendGroup<T>>();

  /** Highest sequence that was sent for a proposer. */
  readonly #proposed = new Map<string, number>();

  #bytes = 0;

  #sequence = 0;

  #folded = 0;

  #inDoubt = false;

  /** Whether an append is in doubt. */
  get isInDoubt(): boolean {
    return this.#inDoubt;
  }

  /** Whether a batch was taken and neither confirmed nor folded. */
  get hasOutstanding(): boolean {
    return this.#outstanding.length > 0;
  }

  /** Whether there is anything to send. */
  get hasWaiting(): boolean {
    return this.#waiting.length > 0;
  }

  /** Queues a group; returns the reason if it is refused. */
  put(group: AppendGroup<T>): string | undefined {
    const largest = Math.max(0, ...group.items.map((item) => item.bytes));
    if (largest > MAX_RECORD_BYTES) {
      return `a record of ${largest} bytes is above the limit of ${MAX_RECORD_BYTES} bytes`;
    }
    const bytes = group.items.reduce((sum, item) => sum + item.bytes, 0);
    if (this.#bytes + bytes > MAX_QUEUE_BYTES) {
      return `the append queue is full: ${this.#bytes} of ${MAX_QUEUE_BYTES} bytes wait for the log`;
    }
    this.#bytes += bytes;
    this.#waiting.push(...group.items.map((item) => ({ group, item })));
    return undefined;
  }

  /**
   * Replaces what a proposer has queued. Returns false, and queues nothing, while values that it
   * sent earlier are in flight or not folded yet: its decision does not know of them.
   */
  replace(group: AppendGroup<T> & { proposer: string }): boolean {
    this.#removeWaiting((one) => one.proposer === group.proposer);
    if (this.#inDoubt) {
      this.#outstanding
        .filter((sent) => sent.group.proposer === group.proposer)
        .forEach((sent) => this.#withdrawn.add(sent.group));
    } else if ((this.#proposed.get(group.proposer) ?? 0) > this.#folded) return false;
    return this.put(group) === undefined;
  }

  /** Withdraws a group; `unknown` if a part of it was sent and may have been appended. */
  withdraw(group: AppendGroup<T>): 'withdrawn' | 'unknown' {
    this.#removeWaiting((one) => one === group);
    this.#withdrawn.add(group);
    return this.#sentGroups.has(group) ? 'unknown' : 'withdrawn';
  }

  /** Takes the next batch to send: the doubtful values again, else those that wait. */
  take(): SentItem<T>[] {
    if (this.#inDoubt) {
      this.#outstanding = this.#outstanding.filter((sent) => !this.#withdrawn.has(sent.group));
      this.#inDoubt = false;
    }
    if (this.#outstanding.length === 0) this.#outstanding = this.#takeWaiting();
    return this.#outstanding;
  }

  /** Takes note that the answer to the last batch was lost. */
  fail(): void {
    this.#inDoubt = this.#outstanding.length > 0;
  }

  /** Takes note that the platform confirmed the last batch; returns what it held. */
  confirm(): SentItem<T>[] {
    const confirmed = this.#outstanding;
    this.#outstanding = [];
    this.#inDoubt = false;
    return confirmed;
  }

  /** Takes note that the fold has seen every sequence up to this one; returns what that settles. */
  fold(sequence: number): SentItem<T>[] {
    this.#folded = Math.max(this.#folded, sequence);
    const settled = this.#outstanding.filter((sent) => sent.sequence <= this.#folded);
    this.#outstanding = this.#outstanding.filter((sent) => sent.sequence > this.#folded);
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
      this.#bytes -= item.bytes;
      this.#sequence += 1;
      this.#sentGroups.add(group);
      if (group.proposer !== undefined) this.#proposed.set(group.proposer, this.#sequence);
      return { sequence: this.#sequence, group, item };
    });
  }

  #removeWaiting(isDropped: (group: AppendGroup<T>) => boolean): void {
    this.#waiting = this.#waiting.filter(({ group, item }) => {
      if (!isDropped(group)) return true;
      this.#bytes -= item.bytes;
      return false;
    });
  }
}
