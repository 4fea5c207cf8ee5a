import { request } from 'undici';
import type { z } from 'zod';

const FETCH_TIMEOUT_MS = 3_000;

/**
 * Fetches an operational endpoint of a process.
 *
 * @param address Peer or API address of the process as `IP:port`.
 * @throws If the connection fails, or if the response status is not 200.
 * @example
 * ```ts
 * const { events } = await fetchObservation('10.0.0.4:7101', { path: 'timeline', schema: ProcessTimeline });
 * ```
 */
export async function fetchObservation<Schema extends z.ZodType>(
  address: string,
  endpoint: { path: 'metrics' | 'timeline' | 'status'; schema: Schema },
): Promise<z.infer<Schema>> {
  const url = `http://${address}/-/${endpoint.path}`;
  const answer = await request(url, { signal: AbortSignal.timeout(FETCH_TIMEOUT_MS) });
  if (answer.statusCode !== 200) {
    await answer.body.dump();
    throw new Error(`${url} answered with status ${answer.statusCode}`);
  }
  return endpoint.schema.parse(await answer.body.json());
}
