import type { RecordBatch } from './RecordSource.js';
import { SourceFaultError } from './SourceFaultError.js';

/**
 * Checks that a batch begins where it was asked to and that its records lie in its range in order.
 *
 * @throws `SourceFaultError` when they do not.
 * @example
 * ```ts
 * verifyBatch(batch, { source: 'platform', from: 7 });
 * ```
 */
export function verifyBatch(batch: RecordBatch, asked: { source: string; from: number }): void {
  const { source, from } = asked;
  if (batch.fromOffset !== from || batch.nextOffset < from) {
    const range = `${batch.fromOffset} to ${batch.nextOffset}`;
    throw new SourceFaultError(source, `answered offsets ${range} when asked from ${from}`);
  }
  let expected = from;
  batch.records.forEach(({ offset }) => {
    if (offset < expected || offset >= batch.nextOffset) {
      throw new SourceFaultError(source, `record ${offset} is out of order or range`);
    }
    expected = offset + 1;
  });
}
