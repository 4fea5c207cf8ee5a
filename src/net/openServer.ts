import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseAddress } from './parseAddress.js';

/**
 * Opens a server at an address and returns the address in use; port 0 takes a free port.
 *
 * @throws The error of the socket, for example when the port is taken.
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

/** Closes a server and every connection to it. */
export function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
