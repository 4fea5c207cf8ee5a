import { request } from 'undici';

interface JsonRequest {
  method?: string;
  headers?: unknown;
  body?: unknown;
  signal?: AbortSignal | null;
}

/**
 * Fetches JSON; a lightweight `fetch` for tRPC clients.
 *
 * The global `fetch` adds six headers, about 150 bytes, to each call and uses several times the CPU
 * time, which matters for processes that make a call every second.
 *
 * @throws The connection error.
 * @example
 * ```ts
 * httpLink({ url: 'http://127.0.0.1:7100', fetch: fetchJson });
 * ```
 */
export async function fetchJson(
  url: unknown,
  { method = 'GET', headers, body, signal }: JsonRequest = {},
): Promise<{ ok: boolean; json: () => Promise<unknown> }> {
  const answer = await request(String(url), {
    method: method as 'GET' | 'POST',
    headers: headers as Record<string, string> | undefined,
    body: typeof body === 'string' ? body : null,
    signal,
  });
  return { ok: answer.statusCode < 300, json: () => answer.body.json() };
}
