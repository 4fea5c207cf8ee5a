import type { LoggedRecord } from '../record/mod.js';

/** A run of records in offset order: every readable record from `fromOffset` to `nextOffset`. */
export interface RecordBatch {
  /** Offset of the first entry read. */
  fromOffset: number;
  records: LoggedRecord[];
  /** Offset after the last entry read, also when that entry was broken and skipped. */
  nextOffset: number;
  /** How many entries were skipped because they are broken or of an unknown type. */
  broken: number;
  /** Whether the source has nothing after `nextOffset` yet. */
  isComplete: boolean;
  /** How long ago the source, directly or through others, last heard from the platform. */
  contactAgeMs: number;
}

/** Where a follower gets its records: the platform's log or another process. */
export abstract class RecordSource {
  /** A short name for logs and events. */
  abstract readonly name: string;

  /**
   * Reads the records from an offset; an empty batch when none came within `waitMs`.
   *
   * @throws `OffsetExpiredError` when the source no longer has the offset.
   * @throws `SourceFaultError` when the answer makes no sense.
   */
  abstract read(from: number, waitMs: number, signal: AbortSignal): Promise<RecordBatch>;

  /** Fetches a snapshot to start from, as parsed JSON; undefined if the source has none. */
  abstract fetchSnapshot(signal: AbortSignal): Promise<unknown>;

  /** Closes the connections. */
  abstract close(): Promise<void>;
}
