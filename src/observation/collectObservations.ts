import type { z } from 'zod';
import { fetchObservation } from './fetchObservation.js';

/** The answer of one process, or why there is none. */
export type Observation<T> =
  { address: string; value: T } | { address: string; value: undefined; error: string };

/**
 * Fetches the same from several processes side by side; one that does not answer is part of the
 * result, so that it is never taken for a process with nothing to tell.
 *
 * @param addresses Peer or API addresses; one that is there twice is asked once.
 * @example
 * ```ts
 * const what = { path: 'status', schema: ProcessStatus } as const;
 * const answers = await collectObservations(['10.0.0.4:7100', '10.0.0.4:8001'], what);
 * ```
 */
export function collectObservations<Schema extends z.ZodType>(
  addresses: readonly string[],
  endpoint: { path: 'metrics' | 'timeline' | 'status'; schema: Schema },
): Promise<Observation<z.infer<Schema>>[]> {
  return Promise.all(
    [...new Set(addresses)].map(async (address) => {
      try {
        return { address, value: await fetchObservation(address, endpoint) };
      } catch (error) {
        return { address, value: undefined, error: (error as Error).message };
      }
    }),
  );
}
