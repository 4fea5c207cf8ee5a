import { RecordEnvelope, type LogEntry, type LoggedRecord } from './Record.js';

/** Encodes a record for the log. */
export function encodeRecord(envelope: RecordEnvelope): string {
  return JSON.stringify(envelope);
}

/**
 * Decodes an entry of the log; a broken or unknown one gives undefined, so that every reader skips
 * it in the same way.
 *
 * @example
 * ```ts
 * decodeRecord({ offset: 7, time: 0, value: '{"writer":1}' }); // undefined
 * ```
 */
export function decodeRecord(entry: LogEntry): LoggedRecord | undefined {
  let value: unknown;
  try {
    value = JSON.parse(entry.value);
  } catch {
    return undefined;
  }
  const parsed = RecordEnvelope.safeParse(value);
  if (!parsed.success) return undefined;
  return { ...parsed.data, offset: entry.offset, time: entry.time };
}
