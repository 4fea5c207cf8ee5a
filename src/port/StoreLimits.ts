import { z } from 'zod';
import type { KeyedValue } from './Store.js';

/** Limits of the store on one append, in bytes. */
export const StoreLimits = z.object({
  /** Maximum size of a record, with its key. */
  recordBytes: z.number().int().positive().default(262_144),
  /** Maximum size of all records of an append. */
  requestBytes: z.number().int().positive().default(2_097_152),
});
export type StoreLimits = z.infer<typeof StoreLimits>;

/** Bytes of a record beside its key and value: the length of the key. */
const KEY_LENGTH_BYTES = 1;

/**
 * Measures a record in bytes, as the store counts it.
 *
 * @example
 * ```ts
 * measureRecord({ key: 'owner', value: '{}' }); // 8
 * ```
 */
export function measureRecord({ key, value = '' }: KeyedValue): number {
  return KEY_LENGTH_BYTES + Buffer.byteLength(key) + Buffer.byteLength(value);
}
