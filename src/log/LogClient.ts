import type { LogEntry } from '../record/mod.js';

/** Options for reading a stream. */
export interface ReadOptions {
  /** Maximum number of entries to return. */
  max: number;
  /** How long the platform may wait for the first entry, in milliseconds. */
  waitMs: number;
  signal?: AbortSignal;
}

/** Entries of a stream with the offset of its end. */
export interface ReadResult {
  entries: LogEntry[];
  /** Offset that the next appended entry will get. */
  head: number;
}

/** Client for the platform's append-only log. */
export abstract class LogClient {
  /**
   * Appends values atomically and in order, and returns the offset of the first.
   *
   * @throws `LogUnavailableError` when the request failed; the values may have been appended
   * anyway.
   */
  abstract append(stream: string, values: string[]): Promise<number>;

  /**
   * Reads entries starting at an offset.
   *
   * @throws `OffsetExpiredError` when the entry at the offset has been removed by retention.
   * @throws `LogUnavailableError` when the request failed.
   */
  abstract read(stream: string, from: number, options: ReadOptions): Promise<ReadResult>;

  /** Closes the connections to the platform. */
  abstract close(): Promise<void>;
}
