import type { LogEntry } from '../record/mod.js';

/** In-memory append-only log with time-based retention. */
export class PlatformLog {
  readonly #retentionMs: number;

  #entries: LogEntry[] = [];

  #head = 0;

  #pendingReads: (() => void)[] = [];

  /** @param retentionMs Age in ms beyond which entries are removed. */
  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /** Offset of the next entry to append. */
  get head(): number {
    return this.#head;
  }

  /** Offset of the oldest retained entry. */
  get earliest(): number {
    return this.#entries[0]?.offset ?? this.#head;
  }

  /** Appends values and returns the offset of the first one. */
  append(values: string[], time: number): number {
    const first = this.#head;
    values.forEach((value) => {
      this.#entries.push({ offset: this.#head, time, value });
      this.#head += 1;
    });
    this.#prune(time);
    const pendingReads = this.#pendingReads;
    this.#pendingReads = [];
    pendingReads.forEach((wake) => wake());
    return first;
  }

  /** Reads entries from an offset; undefined if that offset has expired. */
  read(from: number, max: number): LogEntry[] | undefined {
    this.#prune(Date.now());
    if (from < this.earliest) return undefined;
    const start = from - this.earliest;
    return this.#entries.slice(start, start + max);
  }

  /** Waits until an entry at or after an offset exists, or until the wait time has elapsed. */
  async wait(from: number, waitMs: number): Promise<void> {
    if (this.#head > from || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      // An abandoned long poll must not keep the process running; the open server does.
      timer.unref();
      this.#pendingReads.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #prune(time: number): void {
    const oldest = time - this.#retentionMs;
    if ((this.#entries[0]?.time ?? time) >= oldest) return;
    this.#entries = this.#entries.filter((entry) => entry.time >= oldest);
  }
}
