import type { LoggedRecord } from '../record/mod.js';

/** A run of records in offset order. */
export interface RecordBatch {
  records: LoggedRecord[];
  /** Offset after the last entry read, also when that entry was broken and skipped. */
  nextOffset: number;
}

/** Where a follower gets its records: the platform's log or another process. */
export abstract class RecordSource {
  /** A short name for logs and events. */
  abstract readonly name: string;

  /**
   * Reads the records from an offset; an empty batch when none came within `waitMs`.
   *
   * @throws `OffsetExpiredError` when the source no longer has the offset.
   */
  abstract read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch>;

  /** Fetches a snapshot to start from, as parsed JSON; undefined if the source has none. */
  abstract fetchSnapshot(signal: AbortSignal): Promise<unknown>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
