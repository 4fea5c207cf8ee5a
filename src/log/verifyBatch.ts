import type { RecordBatch } from './RecordSource.js';
import { SourceFaultError } from './SourceFaultError.js';

/**
 * Checks that a batch starts at the requested offset and that its records are in range and in
 * order.
 *
 * @throws `SourceFaultError` when a check fails.
 * @example
 * ```ts
 * verifyBatch(batch, { source: 'platform', from: 7 });
 * ```
 */
export function verifyBatch(batch: RecordBatch, requested: { source: string; from: number }): void {
  const { source, from } = requested;
  if (batch.fromOffset !== from || batch.nextOffset < from) {
    const range = `${batch.fromOffset} to ${batch.nextOffset}`;
    throw new SourceFaultError(source, `returned offsets ${range} for a read from offset ${from}`);
  }
  let expected = from;
  batch.records.forEach(({ offset }) => {
    if (offset < expected || offset >= batch.nextOffset) {
      throw new SourceFaultError(source, `record ${offset} is out of order or out of range`);
    }
    expected = offset + 1;
  });
}
