import type { LogEntry } from '../record/mod.js';

/** Options of a read. */
export interface ReadOptions {
  /** Most entries to return. */
  max: number;
  /** How long the platform may wait for a first entry, in milliseconds. */
  waitMs: number;
  signal?: AbortSignal;
}

/** Result of a read. */
export interface ReadResult {
  entries: LogEntry[];
  /** Offset that the next append will get. */
  head: number;
}

/** The platform's append-only log. */
export abstract class LogClient {
  /**
   * Appends values in order as one unit and returns the offset of the first.
   *
   * @throws `LogUnavailableError` when no answer came; the values may have been appended.
   */
  abstract append(stream: string, values: string[]): Promise<number>;

  /**
   * Reads entries from an offset.
   *
   * @throws `OffsetExpiredError` when retention has removed the offset.
   * @throws `LogUnavailableError` when no answer came.
   */
  abstract read(stream: string, from: number, options: ReadOptions): Promise<ReadResult>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
