import { createServer } from 'node:http';
import { closeServer, openServer } from '../net/mod.js';

/** Finds a free loopback address for a process that must come back at the same one. */
export async function findFreeAddress(): Promise<string> {
  const server = createServer();
  const address = await openServer(server, '127.0.0.1:0');
  await closeServer(server);
  return address;
}
