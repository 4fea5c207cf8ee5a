import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseAddress } from './parseAddress.js';

/**
 * Opens a server and returns the address that it listens on. Port 0 selects a free port.
 *
 * @throws The socket error, for example if the port is in use.
 */
export function openServer(server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}

/** Closes a server and all its connections. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
