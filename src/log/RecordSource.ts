import type { LoggedRecord } from '../record/mod.js';

/** All valid records from `fromOffset` up to, but not including, `nextOffset`, in offset order. */
export interface RecordBatch {
  /** Offset of the first entry that was read. */
  fromOffset: number;
  records: LoggedRecord[];
  /** Offset after the last entry that was read, including skipped entries. */
  nextOffset: number;
  /** Number of entries skipped because they are malformed or of an unknown type. */
  broken: number;
  /** Whether the source had no entries after `nextOffset` when it was read. */
  isComplete: boolean;
  /** Time since the source last heard from the platform, directly or through other processes. */
  contactAgeMs: number;
}

/** A source of records to follow: the platform's log or another process. */
export abstract class RecordSource {
  /** Short name used in logs and events. */
  abstract readonly name: string;

  /**
   * Reads records starting at an offset. The batch is empty if none arrive within `waitMs`.
   *
   * @throws `OffsetExpiredError` when the source no longer has the offset.
   * @throws `SourceFaultError` when the response is invalid.
   */
  abstract read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch>;

  /** Fetches a snapshot to start from, as parsed JSON, or `undefined` if the source has none. */
  abstract fetchSnapshot(signal: AbortSignal): Promise<unknown>;

  /** Closes the connections to the source. */
  abstract close(): Promise<void>;
}
