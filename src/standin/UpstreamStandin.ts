import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { z } from 'zod';
import { closeServer, openServer } from '../net/mod.js';

/** Behaviour of an upstream host, including faults to inject. */
export const UpstreamBehaviour = z.object({
  /** Duration of each job in ms. */
  serviceMs: z.number().nonnegative().default(0),
  /** Every job is answered immediately with status 500. */
  failing: z.boolean().default(false),
  /** Responses are cut off in the middle of the body, short of their `Content-Length`. */
  truncating: z.boolean().default(false),
  /** New jobs are answered with status 503 and `Connection: close`. */
  leaving: z.boolean().default(false),
  /** The connection is closed during each job, without a response. */
  cutting: z.boolean().default(false),
  /** Number of bytes added to each response. */
  paddingBytes: z.number().int().nonnegative().default(0),
});
export type UpstreamBehaviour = z.infer<typeof UpstreamBehaviour>;

/** Counters of an upstream host. */
export interface UpstreamCounts {
  /** Jobs that were run, including those that failed. */
  runs: number;
  /** Jobs that were rejected because the host was leaving. */
  refused: number;
  /** Maximum number of concurrent jobs. */
  maxRunning: number;
  /** Maximum number of concurrent connections. */
  maxConnections: number;
  /** Number of runs for each value of the `Idempotency-Key` header. */
  runsByKey: Record<string, number>;
}

/** A minimal stand-in for an upstream host that counts every run. */
export class UpstreamStandin {
  readonly #server: Server;

  readonly #name: string;

  #behaviour = UpstreamBehaviour.parse({});

  #running = 0;

  #connections = 0;

  readonly #counts: UpstreamCounts = {
    runs: 0,
    refused: 0,
    maxRunning: 0,
    maxConnections: 0,
    runsByKey: {},
  };

  constructor(name = 'upstream') {
    this.#name = name;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', (socket) => {
      this.#connections += 1;
      this.#counts.maxConnections = Math.max(this.#counts.maxConnections, this.#connections);
      socket.once('close', () => {
        this.#connections -= 1;
      });
    });
  }

  get counts(): Readonly<UpstreamCounts> {
    return this.#counts;
  }

  /** Opens the server and returns its address. */
  open(address = '127.0.0.1:0'): Promise<string> {
    return openServer(this.#server, address);
  }

  /** Sets the behaviour. */
  setBehaviour(behaviour: Partial<UpstreamBehaviour>): void {
    this.#behaviour = UpstreamBehaviour.parse(behaviour);
  }

  /** Closes the server and its connections. */
  close(): Promise<void> {
    return closeServer(this.#server);
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    if (path === '/standin/counts') {
      response.end(JSON.stringify(this.#counts));
      return;
    }
    if (path === '/standin/behaviour') {
      const chunks = await request.toArray();
      this.setBehaviour(JSON.parse(Buffer.concat(chunks).toString('utf8')));
      response.end('{}');
      return;
    }
    await this.#run(request, response);
  }

  async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const behaviour = this.#behaviour;
    if (behaviour.leaving) {
      this.#counts.refused += 1;
      response.writeHead(503, { connection: 'close' }).end();
      return;
    }
    this.#countRun(request);
    try {
      const chunks = await request.toArray();
      if (behaviour.serviceMs > 0 && !behaviour.failing) {
        await new Promise((resolve) => {
          setTimeout(resolve, behaviour.serviceMs);
        });
      }
      if (behaviour.cutting) {
        response.destroy();
        return;
      }
      const body = JSON.stringify({
        host: this.#name,
        method: request.method,
        path: request.url,
        received: Buffer.concat(chunks).length,
        id: request.headers['x-request-id'],
        headers: request.headers,
        ...(behaviour.paddingBytes > 0 ? { padding: 'x'.repeat(behaviour.paddingBytes) } : {}),
      });
      response.setHeader('content-length', Buffer.byteLength(body));
      if (behaviour.truncating) {
        response.write(body.slice(0, body.length / 2), () => response.destroy());
        return;
      }
      response.writeHead(behaviour.failing ? 500 : 200, { 'content-type': 'application/json' });
      response.end(body);
    } finally {
      this.#running -= 1;
    }
  }

  #countRun(request: IncomingMessage): void {
    this.#running += 1;
    this.#counts.runs += 1;
    this.#counts.maxRunning = Math.max(this.#counts.maxRunning, this.#running);
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') {
      this.#counts.runsByKey[key] = (this.#counts.runsByKey[key] ?? 0) + 1;
    }
  }
}
