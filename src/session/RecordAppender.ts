import type { VerdictResponse } from '../fleet/mod.js';
import type { RecordBatch } from '../log/mod.js';
import type { RecordBody } from '../record/mod.js';

/** A gateway's access to the log, which only controllers can read and write directly. */
export abstract class RecordAppender {
  /**
   * Appends a record and returns whether it was accepted when it was applied to the fleet's state.
   *
   * @throws If no controller answered; the record may still have been written to the log.
   */
  abstract append(body: RecordBody): Promise<VerdictResponse>;

  /**
   * Reads the records from an offset without waiting for more.
   *
   * @throws If no controller answered.
   */
  abstract readRecords(offset: number): Promise<RecordBatch>;
}
