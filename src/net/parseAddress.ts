/** Host and port of a socket address. */
export interface SocketAddress {
  host: string;
  port: number;
}

/**
 * Parses an address of the form `IP:port`.
 *
 * @throws `RangeError` with the invalid value.
 * @example
 * ```ts
 * parseAddress('127.0.0.1:8080'); // { host: '127.0.0.1', port: 8080 }
 * ```
 */
export function parseAddress(address: string): SocketAddress {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  if (colon < 1 || !Number.isInteger(port) || port < 0 || port > 65_535) {
    throw new RangeError(`expected "IP:port", got "${address}"`);
  }
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port };
}
