import { createServer, type Server } from 'node:http';
import { formatMetrics, type Metrics } from '../metrics/mod.js';
import { closeServer, openServer } from '../net/mod.js';

/** Serves the metrics of a process as text. */
export class MetricsServer {
  readonly #server: Server;

  constructor(metrics: Metrics) {
    this.#server = createServer((_request, response) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
      response.end(formatMetrics(metrics.export()));
    });
  }

  /** Opens the server at `IP:port` and returns the address in use. */
  open(address: string): Promise<string> {
    return openServer(this.#server, address);
  }

  close(): Promise<void> {
    return closeServer(this.#server);
  }
}
