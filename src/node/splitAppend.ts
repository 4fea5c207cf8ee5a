import { measureRecord, type KeyedValue } from '../port/mod.js';

/** Length prefix of a record in an append, in bytes. */
const LENGTH_PREFIX_BYTES = 4;

/**
 * Splits records into appends of at most `maxBytes`, in their order. A record that is larger by
 * itself gets an append of its own. There is always one append.
 *
 * @example
 * ```ts
 * splitAppend([{ key: 'a', value: 'x' }, { key: 'b', value: 'y' }], 10).length; // 2
 * ```
 */
export function splitAppend(records: readonly KeyedValue[], maxBytes: number): KeyedValue[][] {
  const appends: KeyedValue[][] = [[]];
  let bytes = 0;
  records.forEach((record) => {
    const size = LENGTH_PREFIX_BYTES + measureRecord(record);
    if (bytes > 0 && bytes + size > maxBytes) {
      appends.push([]);
      bytes = 0;
    }
    appends.at(-1)?.push(record);
    bytes += size;
  });
  return appends;
}
