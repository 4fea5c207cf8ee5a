import { isIP } from 'node:net';

const MAX_PORT = 65_535;
const ADDRESS = /^(.+):(\d{1,5})$/;

/**
 * Checks whether a text is an address of the form `IP:port` to which a connection can be opened.
 *
 * @param text An IPv4 address or a bracketed IPv6 address, a colon and a port from 1 to 65535.
 * @example
 * ```ts
 * isSocketAddress('10.1.0.9:8080'); // true
 * isSocketAddress('10.1.0.9:99999'); // false
 * ```
 */
export function isSocketAddress(text: string): boolean {
  const [, host = '', digits = ''] = ADDRESS.exec(text) ?? [];
  const port = Number(digits);
  if (port < 1 || port > MAX_PORT) return false;
  if (isIP(host) === 4) return true;
  return host.startsWith('[') && host.endsWith(']') && isIP(host.slice(1, -1)) === 6;
}
