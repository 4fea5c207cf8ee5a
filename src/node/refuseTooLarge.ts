import { measureRecord, type KeyedValue, type StoreLimits } from '../port/mod.js';
import type { CallResponse } from './CallResponse.js';

/**
 * Refuses a job whose record the store would never accept. Returns undefined if it fits.
 *
 * @example
 * ```ts
 * refuseTooLarge(record, settings.store)?.type; // 'bad-request'
 * ```
 */
export function refuseTooLarge(
  record: KeyedValue,
  { recordBytes }: StoreLimits,
): CallResponse | undefined {
  const bytes = measureRecord(record);
  if (bytes <= recordBytes) return undefined;
  const message = `the job takes ${bytes} bytes as a record, at most ${recordBytes} are accepted`;
  return {
    type: 'bad-request',
    findings: [{ severity: 'error', message, place: { path: 'steps' } }],
  };
}
