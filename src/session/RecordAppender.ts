import type { VerdictAnswer } from '../fleet/mod.js';
import type { RecordBatch } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';

/** How a gateway reaches the log, which only controllers write and read. */
export abstract class RecordAppender {
  /**
   * Appends a record and returns the verdict of the fold.
   *
   * @throws If no controller answered; the record may be in the log all the same.
   */
  abstract append(body: RecordBody): Promise<VerdictAnswer>;

  /** Reads the records from an offset as of now. @throws If no controller answered. */
  abstract readRecords(offset: number): Promise<RecordBatch>;
}
