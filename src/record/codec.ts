import { RecordEnvelope, type LogEntry, type LoggedRecord } from './Record.js';

/** Encodes a record as the JSON text of a log entry. */
export function encodeRecord(envelope: RecordEnvelope): string {
  return JSON.stringify(envelope);
}

/**
 * Decodes a log entry. Returns `undefined` for a malformed entry or an unknown record type, so that
 * all readers skip the same entries.
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
