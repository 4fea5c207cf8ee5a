import { createServer } from 'node:http';
import { closeServer, openServer } from '../net/mod.js';

/** Start of the port range, which lies below the ephemeral ports of Linux. */
const FIRST_PORT = 12_000;
/** End of the port range, exclusive; the ephemeral ports of Linux begin at 32,768 by default. */
const END_PORT = 32_000;
/** Ports for one test process; enough for a test of several node processes. */
const PORTS_PER_PROCESS = 100;
const BLOCK_COUNT = (END_PORT - FIRST_PORT) / PORTS_PER_PROCESS;

/** Concurrent test processes have adjacent process IDs, so their blocks of ports differ. */
const firstPort = FIRST_PORT + (process.pid % BLOCK_COUNT) * PORTS_PER_PROCESS;
let next = 0;

/**
 * Finds a free loopback address for a process that must restart at the same address.
 *
 * The port is not an ephemeral port: the system could assign an ephemeral port to an outgoing
 * connection while the process is down.
 */
export async function findFreeAddress(): Promise<string> {
  for (let attempt = 0; attempt < PORTS_PER_PROCESS; attempt += 1) {
    const address = `127.0.0.1:${firstPort + (next % PORTS_PER_PROCESS)}`;
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
  throw new Error(`no free port from ${firstPort} to ${firstPort + PORTS_PER_PROCESS - 1}`);
}
