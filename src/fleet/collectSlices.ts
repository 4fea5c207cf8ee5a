import { setImmediate as yieldToEventLoop } from 'node:timers/promises';

/**
 * Joins the slices of a text, yielding to the event loop after each slice.
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
    await yieldToEventLoop();
  }
  return all.join('');
}
