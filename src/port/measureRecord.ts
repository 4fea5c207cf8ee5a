import type { KeyedValue } from './Store.js';

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
