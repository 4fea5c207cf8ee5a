import { setImmediate as yieldTurn } from 'node:timers/promises';

/**
 * Takes the slices of a text with a turn of the event loop between them and joins them.
 *
 * @param onSlice Called with each slice.
 * @example
 * ```ts
 * const text = await collectSlices(fleet.snapshotSlices());
 * ```
 */
export async function collectSlices(
  slices: Iterable<string>,
  onSlice?: (slice: string) => void,
): Promise<string> {
  const all: string[] = [];
  for (const slice of slices) {
    all.push(slice);
    onSlice?.(slice);
    await yieldTurn();
  }
  return all.join('');
}
