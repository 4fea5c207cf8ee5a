import type { IncomingHttpHeaders } from 'node:http';

const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
const INTERNAL_PREFIX = 'buckthornreach-';

/** Header names and values in the form that `undici` and `node:http` accept. */
export type HeaderMap = Record<string, string | string[]>;

/**
 * Copies the end-to-end headers. Leaves out hop-by-hop headers, those named in `Connection`, and
 * internal ones. The proxy must add its own headers afterwards, so that a `Connection` header can't
 * remove them.
 *
 * @example
 * ```ts
 * stripHeaders({ connection: 'x-a', 'x-a': '1', 'x-b': '2' }); // { 'x-b': '2' }
 * ```
 */
export function stripHeaders(headers: IncomingHttpHeaders): HeaderMap {
  const connection = headers.connection ?? '';
  const connectionOptions = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const kept: HeaderMap = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value === undefined || HOP_BY_HOP.has(name) || connectionOptions.has(name)) return;
    if (name.startsWith(INTERNAL_PREFIX)) return;
    kept[name] = value;
  });
  return kept;
}
