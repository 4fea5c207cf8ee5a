import type { z } from 'zod';
import { fetchObservation } from './fetchObservation.js';

/** The response of one process, or the reason why there is none. */
export type Observation<T> =
  { address: string; value: T } | { address: string; value: undefined; error: string };

/**
 * Fetches the same endpoint from several processes concurrently. The result includes processes that
 * do not respond, so that they are not mistaken for processes without data.
 *
 * @param addresses Peer or API addresses; duplicates are queried once.
 * @example
 * ```ts
 * const endpoint = { path: 'status', schema: ProcessStatus } as const;
 * const answers = await collectObservations(['10.0.0.4:7100', '10.0.0.4:8001'], endpoint);
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
