import type { Clock } from '../clock/mod.js';
import { formatMetrics, type Metrics } from '../metrics/mod.js';
import { IngressSettings } from '../ingress/mod.js';
import { GuardedServer, type BoundObserver } from '../net/mod.js';

/** Bounds for the collectors of metrics, which have one request at a time. */
const SETTINGS = IngressSettings.parse({
  maxRequestsAhead: 4,
  maxHeldBytes: 1_048_576,
  maxConnections: 64,
});

/** Options of a `MetricsServer`. */
export interface MetricsServerOptions {
  observer: BoundObserver;
  clock: Clock;
}

/** Serves the metrics of a process as text. */
export class MetricsServer {
  readonly #server: GuardedServer;

  constructor(metrics: Metrics, options: MetricsServerOptions) {
    this.#server = new GuardedServer({
      settings: SETTINGS,
      ...options,
      handle: async (_request, response) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
        response.end(formatMetrics(metrics.export()));
      },
    });
  }

  /** Opens the server at `IP:port` and returns the address in use. */
  open(address: string): Promise<string> {
    return this.#server.open(address);
  }

  close(): Promise<void> {
    return this.#server.close();
  }
}
