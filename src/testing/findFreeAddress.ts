import { createServer } from 'node:http';
import { closeServer, openServer } from '../net/mod.js';

/** First port handed out; below the range from which Linux takes ports of outgoing connections. */
const FIRST_PORT = 12_000;
/** End of the range, below 32,768, where ports of outgoing connections begin by default. */
const END_PORT = 32_000;
/** Ports of one test process: more than a test of several node processes needs. */
const PORTS_PER_PROCESS = 100;
const BLOCKS = (END_PORT - FIRST_PORT) / PORTS_PER_PROCESS;

/** Test processes that run side by side have neighbouring identifiers, so their blocks differ. */
const block = FIRST_PORT + (process.pid % BLOCKS) * PORTS_PER_PROCESS;
let next = 0;

/**
 * Finds a free loopback address for a process that must come back at the same one.
 *
 * The port is not one that the system gives to outgoing connections: such a port could be taken
 * while the process is away.
 */
export async function findFreeAddress(): Promise<string> {
  for (let tries = 0; tries < PORTS_PER_PROCESS; tries += 1) {
    const address = `127.0.0.1:${block + (next % PORTS_PER_PROCESS)}`;
    next += 1;
    const server = createServer();
    try {
      await openServer(server, address);
      await closeServer(server);
      return address;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
    }
  }
  throw new Error(`no free port from ${block} to ${block + PORTS_PER_PROCESS - 1}`);
}
