import type { LogEntry } from '../record/mod.js';

/** An append-only stream in memory with limited retention. */
export class PlatformLog {
  readonly #retentionMs: number;

  #entries: LogEntry[] = [];

  #head = 0;

  #waiters: (() => void)[] = [];

  /** @param retentionMs Entries older than this are removed. */
  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /** Offset that the next entry gets. */
  get head(): number {
    return this.#head;
  }

  /** Offset of the oldest entry that is kept. */
  get earliest(): number {
    return this.#entries[0]?.offset ?? this.#head;
  }

  /** Appends values and returns the offset of the first. */
  append(values: string[], time: number): number {
    const first = this.#head;
    values.forEach((value) => {
      this.#entries.push({ offset: this.#head, time, value });
      this.#head += 1;
    });
    this.#prune(time);
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((wake) => wake());
    return first;
  }

  /** Reads entries from an offset; undefined when it has expired. */
  read(from: number, max: number): LogEntry[] | undefined {
    this.#prune(Date.now());
    if (from < this.earliest) return undefined;
    const start = from - this.earliest;
    return this.#entries.slice(start, start + max);
  }

  /** Waits until an entry at or after an offset exists or the time has passed. */
  async wait(from: number, waitMs: number): Promise<void> {
    if (this.#head > from || waitMs <= 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      // The open server keeps the process running, an abandoned long poll does not.
      timer.unref();
      this.#waiters.push(() => {
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
